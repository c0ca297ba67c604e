"""Result of one run of the claims benchmark."""

from dataclasses import dataclass
from statistics import quantiles

__all__ = ["Measurement"]


@dataclass(frozen=True, slots=True)
class Measurement:
    """Counts over `seconds`, and the latencies of granted claims in seconds."""

    scheme: str
    entries: int
    offered: float
    seconds: float
    latencies: list[float]
    refused: int
    writes: int
    reads: int
    written_bytes: int

    HEADER = (
        "scheme                    entries  offered/s  granted/s  refused  "
        "p50 ms  p95 ms  writes/s  reads/s  writes/claim  KB/claim"
    )

    def __str__(self):
        granted = len(self.latencies)
        cuts = quantiles(self.latencies, n=20) if granted > 1 else [0.0] * 19
        return (
            f"{self.scheme:24}  {self.entries:7}  {self.offered:9.0f}  "
            f"{granted / self.seconds:9.0f}  {self.refused:7}  "
            f"{cuts[9] * 1000:6.1f}  {cuts[18] * 1000:6.1f}  "
            f"{self.writes / self.seconds:8.0f}  {self.reads / self.seconds:7.0f}  "
            f"{self.writes / max(granted, 1):12.2f}  "
            f"{self.written_bytes / max(granted, 1) / 1000:8.1f}"
        )
