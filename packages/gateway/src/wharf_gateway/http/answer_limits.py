"""Limits on what an upstream or the store may send."""

from dataclasses import dataclass

__all__ = ["AnswerLimits"]


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Sizes in bytes of one answer, and how many of its parts a connection holds.

    `head_bytes` applies to a head up to its end, `body_bytes` to a body that is read as
    a whole, to an event of a stream and to an answer that is skipped. Reading pauses
    while more than `held_bytes` of a body wait to be taken.
    """

    head_bytes: int = 65_536
    fields: int = 200
    interim_heads: int = 8
    body_bytes: int = 1_048_576
    held_bytes: int = 262_144
