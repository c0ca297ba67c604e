"""Refusal or failure with its code and whether any work may have run."""

from dataclasses import dataclass

from wharf_coordination.code import Code
from wharf_coordination.ran import Ran

__all__ = ["Refusal"]


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why work has no answer, and whether any of it may have run."""

    code: Code
    ran: Ran
    detail: str = ""

    @classmethod
    def not_run(cls, code, detail=""):
        """Return a refusal of work that certainly did not start."""
        return cls(code, Ran.NO, detail)

    @classmethod
    def unknown(cls, code, detail=""):
        """Return a failure of work that may have run."""
        return cls(code, Ran.UNKNOWN, detail)
