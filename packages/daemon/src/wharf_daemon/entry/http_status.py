"""Mapping of result codes to HTTP statuses."""

from wharf_coordination import Code

__all__ = ["http_status"]

_STATUS_BY_CODE = {
    Code.OK: 200,
    Code.BAD_BODY: 400,
    Code.BAD_HEADER: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.UNKNOWN_PIPELINE: 404,
    Code.UNKNOWN_CUSTOMER: 403,
    Code.BAD_DEADLINE: 400,
    Code.UNKNOWN_PATH: 404,
    Code.BAD_METHOD: 405,
    Code.REQUEST_CONDEMNED: 422,
    Code.KEY_EXPIRED: 410,
    Code.KEY_REUSED: 422,
    Code.DEADLINE_PASSED: 504,
    Code.LINK_LOST: 502,
    Code.UPSTREAM_FAILED: 502,
    Code.UPSTREAM_CRASHED: 502,
    Code.ANSWER_BROKEN: 502,
    Code.ANSWER_TOO_LARGE: 502,
    Code.OUTCOME_UNKNOWN: 504,
    Code.INTERNAL: 500,
}
_UNAVAILABLE = 503


def http_status(code):
    """Return the HTTP status for `code`, 503 by default.

    >>> http_status(Code.UPSTREAM_FULL)
    503
    """
    return _STATUS_BY_CODE.get(code, _UNAVAILABLE)
