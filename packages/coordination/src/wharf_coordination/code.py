"""Numbered result codes that callers, operators and processes see."""

from enum import IntEnum

__all__ = ["Code"]


class Code(IntEnum):
    """A numbered result; the table is in docs/RESULT-CODES.md.

    Codes from 1000 to 1999 are errors in the request, 2000 to 2999 are refusals for
    lack of capacity or by policy, 3000 to 3999 are failures after the work may have
    started, 4000 to 4999 concern configuration and the platform.
    """

    OK = 0

    BAD_BODY = 1001
    BAD_HEADER = 1002
    BODY_TOO_LARGE = 1003
    UNKNOWN_PIPELINE = 1004
    UNKNOWN_CUSTOMER = 1005
    BAD_DEADLINE = 1006
    UNKNOWN_PATH = 1007
    BAD_METHOD = 1008

    NO_UPSTREAM = 2001
    UPSTREAM_FULL = 2002
    UPSTREAM_LEAVING = 2003
    DATA_CENTRE_OUT = 2004
    DEADLINE_TOO_SHORT = 2005
    ENTRY_FULL = 2006
    ENTRY_STOPPING = 2007
    NOT_CONFIGURED = 2008
    STORE_UNAVAILABLE = 2009
    REQUEST_CONDEMNED = 2010
    KEY_EXPIRED = 2011
    KEY_REUSED = 2012
    STALE_FENCING = 2013
    VERSION_VETOED = 2014
    RETRY_BUDGET_SPENT = 2015
    SUSPECT_WAITS = 2016

    DEADLINE_PASSED = 3001
    LINK_LOST = 3002
    UPSTREAM_FAILED = 3003
    ANSWER_BROKEN = 3004
    CALLER_LEFT = 3005
    OUTCOME_UNKNOWN = 3006
    ANSWER_TOO_LARGE = 3007
    INTERNAL = 3008
    UPSTREAM_CRASHED = 3009

    BAD_SETTINGS = 4001
    BAD_CONFIGURATION = 4002
    CONFLICT = 4003
    UNKNOWN_OUTCOME = 4004
    BAD_MESSAGE = 4005
    NOT_IN_FORCE = 4006
    RATE_LIMITED = 4007
    NOT_FOUND = 4008

    @property
    def label(self):
        """Return the code's name in lower case, as used in logs and metrics."""
        return self.name.lower()
