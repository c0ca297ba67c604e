"""A version of the configuration that was written to the store."""

from dataclasses import dataclass

__all__ = ["ConfigurationVersion"]


@dataclass(frozen=True, slots=True)
class ConfigurationVersion:
    """Its number, what it allows that other versions don't, and when it was written.

    `features` are the names of routes and of keys, `added` those that no version
    before had. `timeout_factor` applies to the
    time-outs of all routes.
    """

    number: int
    written_at: float
    features: frozenset[str] = frozenset()
    added: frozenset[str] = frozenset()
    timeout_factor: float = 1.0
    idle_seconds: float = 30.0
