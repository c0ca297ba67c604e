"""What a caller got for one sending of a request."""

from dataclasses import dataclass

__all__ = ["Got"]


@dataclass(frozen=True, slots=True)
class Got:
    """The outcome at `at` seconds; `cut` says that the connection broke.

    `request` is the id that the entry gave, `answered` the input that the answer
    repeats, `is_whole` whether a stream came with all its chunks and its end.
    """

    number: int
    at: float
    code: int = 0
    ran: str = ""
    request: str = ""
    answered: str = ""
    is_whole: bool = True
    cut: bool = False

    @property
    def is_answer(self):
        """Return whether the caller holds an answer."""
        return not self.cut and self.code == 0
