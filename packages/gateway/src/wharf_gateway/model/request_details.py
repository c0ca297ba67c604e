"""What the headers of a request say of it."""

from dataclasses import dataclass

from wharf_gateway.model.prompt_part import PromptPart

__all__ = ["RequestDetails"]


@dataclass(frozen=True, slots=True)
class RequestDetails:
    """A request's identity, time, key, prompt and pieces.

    `seconds` is how long the caller waits, `pieces` the number of pieces of each
    step, `piece_key` identifies the source of the first steps.
    """

    id: str
    seconds: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    pieces: tuple[int, ...] = ()
    piece_key: str = ""
    last_event: str | None = None
