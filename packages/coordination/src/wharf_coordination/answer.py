"""Assembly of a numbered stream of chunks into one answer."""

from dataclasses import dataclass, field

from result import Err, Ok, Result

from wharf_coordination.code import Code
from wharf_coordination.refusal import Refusal

__all__ = ["AnswerAssembler"]


@dataclass(slots=True)
class AnswerAssembler:
    """Accept the chunks of one attempt in order and check that none is missing.

    Chunks that were received before are dropped. A gap in the sequence, or a final
    count that differs from the number of chunks received, is an error.
    """

    max_bytes: int
    next_sequence: int = 0
    size: int = 0
    chunks: list[bytes] = field(default_factory=list)

    def add(self, sequence, bodies) -> Result[list[bytes], Refusal]:
        """Add chunks numbered from `sequence` on; return those that were new."""
        if sequence > self.next_sequence:
            detail = f"expected chunk {self.next_sequence}, got {sequence}"
            return Err(Refusal.unknown(Code.ANSWER_BROKEN, detail))
        new_chunks = list(bodies[self.next_sequence - sequence :])
        size = self.size + sum(map(len, new_chunks))
        if size > self.max_bytes:
            detail = f"answer exceeds {self.max_bytes} bytes"
            return Err(Refusal.unknown(Code.ANSWER_TOO_LARGE, detail))
        self.next_sequence += len(new_chunks)
        self.size = size
        self.chunks += new_chunks
        return Ok(new_chunks)

    def close(self, count) -> Result[bytes, Refusal]:
        """Return the complete answer if exactly `count` chunks were received.

        >>> answer = AnswerAssembler(max_bytes=10)
        >>> answer.add(0, [b"ab"])
        Ok([b'ab'])
        >>> answer.close(1)
        Ok(b'ab')
        """
        if count != self.next_sequence:
            detail = f"end frame counts {count} chunks, received {self.next_sequence}"
            return Err(Refusal.unknown(Code.ANSWER_BROKEN, detail))
        return Ok(b"".join(self.chunks))
