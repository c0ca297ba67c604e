"""Details of a request from its headers."""

from dataclasses import dataclass

from wharf_gateway.model.prompt_part import PromptPart

__all__ = ["RequestDetails"]


@dataclass(frozen=True, slots=True)
class RequestDetails:
    """A request's ID, timeout, API key, prompt and pieces.

    `seconds` is the caller's timeout, `prompt` the parts of the prompt from its start,
    and `pieces` the number of pieces of each step. `piece_key` identifies the source of
    the first steps. `last_event` is the last event that the caller received of a
    stream it resumes.
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
