"""A part of a prompt that several requests may share."""

from dataclasses import dataclass

__all__ = ["PromptPart"]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """ID of a part, equal for equal prompts up to its end, and its size in tokens."""

    id: str
    tokens: int
