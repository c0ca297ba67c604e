"""A request that an upstream was running when it crashed."""

from dataclasses import dataclass

__all__ = ["CrashSuspect"]


@dataclass(frozen=True, slots=True)
class CrashSuspect:
    """A request that had no part of its answer when its upstream crashed.

    `fingerprint` is equal for repeats of the request, `features` are what it may share
    with others, the most common first. `began` says whether the upstream had begun to
    answer it, by which it precedes those that still waited.
    """

    fingerprint: str
    features: tuple[str, ...]
    began: bool = True
