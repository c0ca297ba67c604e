"""Orders to a stand-in upstream and whether it executed them."""

from dataclasses import dataclass, field

__all__ = ["OrderBook", "OrderRecord"]


@dataclass(frozen=True, slots=True)
class OrderRecord:
    """One order at `at` seconds of the stand-in's clock."""

    operation: str
    subject: str
    fencing: int
    at: float
    obeyed: bool


@dataclass
class OrderBook:
    """Execute orders; with `checks_fencing`, refuse outdated fencing numbers."""

    checks_fencing: bool = False
    fencing: int = 0
    versions: set[str] = field(default_factory=set)
    records: list[OrderRecord] = field(default_factory=list)

    def give(self, operation, subject, fencing, now):
        """Execute an order unless it is refused; return whether it was executed.

        >>> book = OrderBook(checks_fencing=True)
        >>> book.give("load_version", "2", fencing=7, now=0.0)
        True
        >>> book.give("unload_version", "2", fencing=6, now=1.0)
        False
        """
        obeyed = fencing >= self.fencing or not self.checks_fencing
        self.records.append(OrderRecord(operation, subject, fencing, now, obeyed))
        if obeyed:
            self.fencing = max(self.fencing, fencing)
            self._apply(operation, subject)
        return obeyed

    def serves(self, version):
        """Return whether a version is loaded; before any load order, each is."""
        return not self.versions or version in self.versions

    def _apply(self, operation, subject):
        match operation:
            case "load_version":
                self.versions.add(subject)
            case "unload_version":
                self.versions.discard(subject)
