"""Assembly of a numbered stream of chunks into one whole answer."""

from dataclasses import dataclass, field

from result import Err, Ok, Result

from wharf_coordination.code import Code
from wharf_coordination.refusal import Refusal

__all__ = ["AnswerAssembler"]


@dataclass(slots=True)
class AnswerAssembler:
    """Accept the chunks of one attempt in order and prove the answer whole.

    A chunk that was seen before is dropped; a gap or a closing count that
    differs from the chunks received breaks the answer.
    """

    max_bytes: int
    next_sequence: int = 0
    size: int = 0
    chunks: list[bytes] = field(default_factory=list)

    def add(self, sequence, bodies) -> Result[list[bytes], Refusal]:
        """Take the chunks from number `sequence` on; return those that were new."""
        if sequence > self.next_sequence:
            detail = f"expected chunk {self.next_sequence}, got {sequence}"
            return Err(Refusal.unknown(Code.ANSWER_BROKEN, detail))
        fresh = list(bodies[self.next_sequence - sequence :])
        size = self.size + sum(map(len, fresh))
        if size > self.max_bytes:
            detail = f"answer exceeds {self.max_bytes} bytes"
            return Err(Refusal.unknown(Code.ANSWER_TOO_LARGE, detail))
        self.next_sequence += len(fresh)
        self.size = size
        self.chunks += fresh
        return Ok(fresh)

    def close(self, count) -> Result[bytes, Refusal]:
        """Return the whole answer if exactly `count` chunks were received.

        >>> answer = AnswerAssembler(max_bytes=10)
        >>> answer.add(0, [b"ab"])
        Ok([b'ab'])
        >>> answer.close(1)
        Ok(b'ab')
        """
        if count != self.next_sequence:
            detail = f"closing frame counts {count}, received {self.next_sequence}"
            return Err(Refusal.unknown(Code.ANSWER_BROKEN, detail))
        return Ok(b"".join(self.chunks))
