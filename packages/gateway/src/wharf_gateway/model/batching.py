"""Batching of pieces by the upstreams of a service."""

from dataclasses import dataclass

__all__ = ["Batching"]


@dataclass(frozen=True, slots=True)
class Batching:
    """Limits and call times of one upstream; times in seconds, sizes in bytes.

    `concurrency` calls run at a time and `queue_size` more may wait. A call of up to
    `batch_size` pieces takes `call_seconds` plus about `piece_seconds` per piece. The
    upstream keeps results of up to `result_capacity` bytes, each for
    `result_lifetime` seconds.
    """

    concurrency: int
    queue_size: int
    batch_size: int
    call_seconds: float
    piece_seconds: float
    result_capacity: float
    result_lifetime: float
