"""Outcomes of rollouts, which a restoration of the store doesn't take back."""

from dataclasses import dataclass, field, replace

from wharf_coordination.rollout_outcome import RolloutOutcome
from wharf_gateway.restoration import GRACE_SECONDS
from wharf_gateway.store.store_position import StorePosition

__all__ = ["OutcomeMemory"]

MAX_ROLLOUTS = 256  # whose outcomes are remembered


@dataclass(slots=True)
class _Known:
    """An outcome, and whether the store has shown it since its last restoration.

    If it hasn't, an order without that outcome is the same one until `kept_until`.
    `position` is where the store last showed the outcome.
    `is_anew` says that the order was offered again after it had ended.
    """

    outcome: RolloutOutcome | None
    position: StorePosition
    is_stored: bool = True
    kept_until: float = float("-inf")
    is_anew: bool = False

    @property
    def is_closed(self):
        return self.outcome not in (None, RolloutOutcome.RUNNING)

    def is_lost(self, now):
        return self.is_closed and not self.is_stored and now < self.kept_until

    def outlasts(self, order, is_listing, now):
        """Return whether the store shows an outcome older than this one."""
        if not self.is_lost(now) or order.outcome is self.outcome:
            return False
        return not self._precedes(order) if is_listing else order.is_open

    def _precedes(self, order):
        """Return whether a copy holds an outcome that was written after this one.

        An order without an outcome may be written again under any revision.
        """
        is_first_listed = self.kept_until != float("inf")
        is_later = order.revision > self.position.revision
        return is_first_listed and is_later and order.outcome is not None


@dataclass(slots=True)
class OutcomeMemory:
    """The last outcome of each rollout, by service and new version.

    An order that is open again was offered anew, except after a restoration of the
    store: then it keeps its outcome until the store shows that again.

    >>> from wharf_gateway.model.rollout_order import RolloutOrder
    >>> memory = OutcomeMemory()
    >>> order = RolloutOrder("s", "s", "v2", 16.0, RolloutOutcome.FINISHED, 7)
    >>> memory.record(order, 0.0).outcome
    <RolloutOutcome.FINISHED: 'finished'>
    >>> memory.handle_restoration(10.0)
    >>> memory.record(replace(order, outcome=None), 11.0, is_listing=True).outcome
    <RolloutOutcome.FINISHED: 'finished'>
    """

    _known_by_rollout: dict = field(default_factory=dict)

    def handle_restoration(self, now):
        """Expect that the store has lost outcomes."""
        for known in self._known_by_rollout.values():
            known.is_stored = False
            known.kept_until = now + GRACE_SECONDS

    def forget(self):
        """Forget all outcomes, as later offers may have been missed."""
        self._known_by_rollout.clear()

    def record(self, order, now, *, era=None, is_listing=False):
        """Record an order of the store; return it with the outcome that holds."""
        known = self._known_by_rollout.pop(_key(order), None)
        if known is not None and known.outlasts(order, is_listing, now):
            known.kept_until = float("inf")
        else:
            is_anew = known is not None and (known.is_closed or known.is_anew)
            position = StorePosition(era, order.revision)
            known = _Known(order.outcome, position, is_anew=is_anew)
        self._add(order, known)
        return replace(order, outcome=known.outcome)

    def learn(self, order, era, now) -> bool:
        """Record an outcome that a peer knows and the store has lost.

        Return whether it is new here; an order that was offered again has none yet.
        """
        known = self._known_by_rollout.get(_key(order))
        if known is not None and (known.is_closed or known.is_anew):
            return False
        position = StorePosition(era, order.revision)
        self._add(order, _Known(order.outcome, position, False, now + GRACE_SECONDS))
        return True

    def knows(self, order):
        """Return whether the order has been seen."""
        return _key(order) in self._known_by_rollout

    def is_lost(self, order, now):
        """Return whether the store has lost the order's outcome."""
        known = self._known_by_rollout.get(_key(order))
        return known is not None and known.is_lost(now)

    def position(self, order):
        """Return where the store last showed the outcome of an order that is known."""
        return self._known_by_rollout[_key(order)].position

    def _add(self, order, known):
        self._known_by_rollout[_key(order)] = known
        if len(self._known_by_rollout) > MAX_ROLLOUTS:
            del self._known_by_rollout[next(iter(self._known_by_rollout))]


def _key(order):
    return order.service, order.target
