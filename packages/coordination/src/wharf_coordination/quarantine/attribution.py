"""The conclusion that a feature of requests causes crashes."""

from dataclasses import dataclass

__all__ = ["Attribution"]


@dataclass(frozen=True, slots=True)
class Attribution:
    """A feature to which crashes are attributed.

    `crashes` is their number and `first_at` the time of the first, in seconds.
    """

    feature: str
    crashes: int
    first_at: float
