"""How a run of a command ended."""

from dataclasses import dataclass

__all__ = ["CommandResult"]


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Exit code, standard output and standard error."""

    code: int
    output: str
    errors: str
