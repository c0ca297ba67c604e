"""A request that an upstream was running when it crashed."""

from dataclasses import dataclass

__all__ = ["CrashSuspect"]


@dataclass(frozen=True, slots=True)
class CrashSuspect:
    """A request whose answer wasn't whole when its upstream crashed.

    `fingerprint` is equal for repeats of the request, `features` are what it may share
    with others, the most common first. `began` says whether the upstream had begun to
    answer it, by which it precedes those that still waited, and `served` whether a part
    of the answer had come: among the many requests that are being answered at any
    moment, such a one is the less likely cause.
    """

    fingerprint: str
    features: tuple[str, ...]
    began: bool = True
    served: bool = False
