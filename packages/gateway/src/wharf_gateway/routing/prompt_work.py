"""A request's prompt as a measure of work."""

from dataclasses import dataclass

import xxhash

__all__ = ["PromptWork"]


@dataclass(frozen=True, slots=True)
class PromptWork:
    """The parts of a prompt with their keys, and the numbers of tokens.

    A key is a hash of a part's ID. `output_tokens` is 0 for streams, whose first
    token counts.
    """

    parts: tuple[tuple[int, int], ...]
    total: int
    output_tokens: int = 0

    @classmethod
    def of(cls, details, *, is_stream):
        """Return the work of a request with these `RequestDetails`."""
        parts = tuple((part_key(part.id), part.tokens) for part in details.prompt)
        total = max(details.prompt_tokens, sum(tokens for _, tokens in parts))
        return cls(parts, total, 0 if is_stream else details.max_output_tokens)

    @property
    def shared_tokens(self):
        """Return the tokens of all parts but the last, the request's own."""
        return sum(tokens for _, tokens in self.parts[:-1])


def part_key(part_id):
    """Return a key of 32 bits; two of some thousand parts rarely have the same."""
    return xxhash.xxh32_intdigest(part_id.encode())
