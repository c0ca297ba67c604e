"""Verdict on a request that may crash upstreams."""

from enum import Enum

__all__ = ["Verdict"]


class Verdict(Enum):
    """Whether a request may run, runs isolated from other suspects, or is refused."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONDEMNED = "condemned"
