"""Load of a stand-in upstream, reported with a delay."""

from dataclasses import dataclass, field

__all__ = ["LoadMeter"]


@dataclass
class LoadMeter:
    """Report the number of concurrent runs of `lag` seconds ago."""

    lag: float = 0.2
    running: int = 0
    _samples: list[tuple[float, int]] = field(default_factory=list)

    def change(self, difference, now):
        """Add `difference` to the number of runs."""
        self.running += difference
        self._samples.append((now, self.running))

    def reported(self, now):
        """Return the number of runs `lag` seconds ago.

        >>> meter = LoadMeter(lag=1.0)
        >>> meter.change(1, now=0.0)
        >>> meter.reported(now=0.5), meter.reported(now=1.0)
        (0, 1)
        """
        while len(self._samples) > 1 and self._samples[1][0] <= now - self.lag:
            del self._samples[0]
        if not self._samples or self._samples[0][0] > now - self.lag:
            return 0
        return self._samples[0][1]
