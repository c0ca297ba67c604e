"""Check of the fencing numbers of orders, beside an upstream that may not."""

from dataclasses import dataclass

from result import Err, Ok, Result

from wharf_coordination.code import Code
from wharf_coordination.refusal import Refusal

__all__ = ["FencingGuard"]


@dataclass(slots=True)
class FencingGuard:
    """Pass orders with the current fencing number only.

    The number is learnt from the store; a guard that has never learnt one
    passes nothing.
    """

    current: int | None = None

    def learn(self, fencing):
        """Take note of a number; it never falls."""
        self.current = max(fencing, self.current or 0)

    def check(self, fencing) -> Result[None, Refusal]:
        """Return whether an order with `fencing` may pass.

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
