"""Check of fencing numbers for upstreams that do not check them themselves."""

from dataclasses import dataclass

from result import Err, Ok, Result

from wharf_coordination.code import Code
from wharf_coordination.refusal import Refusal

__all__ = ["FencingGuard"]


@dataclass(slots=True)
class FencingGuard:
    """Accept only orders with the current fencing number or a newer one.

    The number is read from the store; until it is known, all orders are refused.
    """

    current: int | None = None

    def learn(self, fencing):
        """Raise the current number to `fencing` unless it is higher already."""
        self.current = max(fencing, self.current or 0)

    def check(self, fencing) -> Result[None, Refusal]:
        """Return Ok if an order with `fencing` may pass, or a refusal.

        >>> guard = FencingGuard()
        >>> guard.check(3).unwrap_err().code.label
        'store_unavailable'
        >>> guard.learn(4)
        >>> guard.check(3).unwrap_err().code.label, guard.check(4)
        ('stale_fencing', Ok(None))
        """
        if self.current is None:
            detail = "the current fencing number is not known yet"
            return Err(Refusal.not_run(Code.STORE_UNAVAILABLE, detail))
        if fencing < self.current:
            detail = f"order has fencing number {fencing}, current is {self.current}"
            return Err(Refusal.not_run(Code.STALE_FENCING, detail))
        self.learn(fencing)
        return Ok(None)
