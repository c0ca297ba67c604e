"""When requests leave their data centre, and how many of them."""

from dataclasses import dataclass, field
from math import exp

__all__ = ["CentreWait", "Decision", "Locality"]

# With this gain half of the requests would leave. In the trial of a burst on hosts of
# unlike pace the mean was 199, 175 and 163 ms with 0.1, 0.05 and 0.03 s; the lower it
# is, the more the share is a switch.
HALF_SECONDS = 0.05
# The share follows its target over three times the age of what is known. With 1 s at
# any age it oscillated where reports were 1 s old.
FOLLOW_SECONDS = 1.0  # at least
FOLLOW_AGES = 3.0
# A wait that was reported this long ago says nothing; the gain falls with its age.
TRUST_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class CentreWait:
    """The expected seconds of a request in a data centre, and the age of the report."""

    seconds: float
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request may leave `home`, the total share that does, and why."""

    home: str
    leaves: bool
    share: float
    reason: str


@dataclass(slots=True)
class Locality:
    """Decide for each request of a service whether it may leave its data centre.

    At most `max_share` of the requests leave while the data centre has upstreams.

    >>> waits = {"a": CentreWait(0.1), "b": CentreWait(0.1)}
    >>> Locality().decide(("s", "a"), "a", waits, 0.01, draw=0.0, now=1.0).reason
    'no gain'
    >>> Locality().decide(("s", "c"), "c", waits, 0.01, draw=0.9, now=1.0).leaves
    True
    """

    max_share: float = 0.5
    _share_by_key: dict = field(default_factory=dict)  # key: (share, time)

    def decide(self, key, home, wait_by_centre, crossing, draw, now):
        """Return the decision for one request.

        `key` names what shares a share of crossings, `crossing` is the cost of this
        request's crossing in seconds, and `draw` is a random number from 0 to 1.
        """
        if home not in wait_by_centre:
            return Decision(home, True, 1.0, "no upstream")
        others = [wait for name, wait in wait_by_centre.items() if name != home]
        if not others:
            return Decision(home, False, 0.0, "only one")
        own, best = wait_by_centre[home], min(others, key=lambda wait: wait.seconds)
        age = max(own.age, best.age)
        gain = own.seconds - best.seconds - crossing
        gain *= max(0.0, 1 - age / TRUST_SECONDS)
        share = self._follow(key, gain, age, now)
        if gain <= 0:
            return Decision(home, False, share, "no gain")
        if draw >= share:
            return Decision(home, False, share, "share used")
        return Decision(home, True, share, "shorter wait")

    def shares(self):
        """Return the share of requests that may leave, by key."""
        return {key: share for key, (share, _) in self._share_by_key.items()}

    def _follow(self, key, gain, age, now):
        gain = max(0.0, gain)
        target = min(self.max_share, gain / (gain + HALF_SECONDS))
        seconds = max(FOLLOW_SECONDS, FOLLOW_AGES * min(age, TRUST_SECONDS))
        share, at = self._share_by_key.get(key, (0.0, now - FOLLOW_SECONDS / 4))
        share += (target - share) * (1 - exp(-max(0.0, now - at) / seconds))
        self._share_by_key[key] = (share, now)
        return share
