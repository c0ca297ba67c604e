"""What is held against a request that may crash upstreams."""

from enum import Enum

__all__ = ["Verdict"]


class Verdict(Enum):
    """Whether a request may run, runs apart from other suspects, or is refused."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONDEMNED = "condemned"
