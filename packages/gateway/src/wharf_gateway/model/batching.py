"""How upstreams of a service run pieces of steps."""

from dataclasses import dataclass

__all__ = ["Batching"]


@dataclass(frozen=True, slots=True)
class Batching:
    """Figures of one upstream; times in seconds, sizes in bytes.

    `concurrency` calls run at a time, `queue_size` more may wait. A call of up to
    `batch_size` pieces takes `call_seconds` and about `piece_seconds` a piece. Results
    share `result_capacity` and last for `result_lifetime`.
    """

    concurrency: int
    queue_size: int
    batch_size: int
    call_seconds: float
    piece_seconds: float
    result_capacity: float
    result_lifetime: float
