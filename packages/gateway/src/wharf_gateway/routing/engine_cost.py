"""How long a model engine takes to read prompts and to write tokens."""

from dataclasses import dataclass

__all__ = ["EngineCost"]


@dataclass(frozen=True, slots=True)
class EngineCost:
    """Seconds of an engine's work on a host of usual pace.

    Engines of the measured deployments read 30.9 and 50.7 tokens a millisecond; the
    default is between them. The other figures are the measured ones.

    >>> cost = EngineCost()
    >>> round(cost.read_seconds(uncached=4000, total=4000), 3)
    0.106
    >>> round(cost.read_seconds(uncached=400, total=4000), 3)
    0.011
    """

    tokens_per_second: float = 40_000.0
    seconds_per_pair: float = 0.73e-9  # of a token that is read and one before it
    step_seconds: float = 0.0062
    seconds_per_running: float = 0.033e-3
    first_token_seconds: float = 0.007

    def read_seconds(self, uncached, total):
        """Return the time to read the last `uncached` of `total` prompt tokens."""
        pairs = uncached * (total - uncached / 2)
        return uncached / self.tokens_per_second + pairs * self.seconds_per_pair

    def write_seconds(self, tokens, running):
        """Return the time to write `tokens`, with `running` requests in the batch."""
        return tokens * (self.step_seconds + running * self.seconds_per_running)
