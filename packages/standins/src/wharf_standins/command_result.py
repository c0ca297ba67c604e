"""Result of a command that was run in a process."""

from dataclasses import dataclass

__all__ = ["CommandResult"]


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Exit code, standard output and standard error."""

    code: int
    output: str
    errors: str
