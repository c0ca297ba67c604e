"""A part of a prompt that several requests may share."""

from dataclasses import dataclass

__all__ = ["PromptPart"]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """ID of a part of a prompt that requests may share, and its size in tokens."""

    id: str
    tokens: int
