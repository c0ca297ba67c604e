"""The bytes that one connection holds of a budget."""

from dataclasses import dataclass
from typing import Any

__all__ = ["ByteAccount"]


@dataclass(slots=True, eq=False)
class ByteAccount:
    """Reserved bytes of one connection, and its last progress.

    `owner` is the connection, `caller` whom it belongs to. `is_waiting` says that its
    client has to send the rest of a request or to read a response. `progress_at` is
    the last time, in seconds, at which it had done enough of that, and `moved` the
    bytes since then.
    """

    owner: Any
    caller: str
    progress_at: float
    held: int = 0
    is_waiting: bool = False
    moved: int = 0
