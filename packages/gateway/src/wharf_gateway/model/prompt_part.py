"""A part of a prompt that requests may share."""

from dataclasses import dataclass

__all__ = ["PromptPart"]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Identity of a part and its size in tokens."""

    id: str
    tokens: int
