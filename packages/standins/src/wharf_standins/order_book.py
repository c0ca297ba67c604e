"""Orders that a stand-in upstream was given, and whether it obeyed."""

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
    """Obey orders; refuse an old fencing number if `checks_fencing`."""

    checks_fencing: bool = False
    fencing: int = 0
    versions: set[str] = field(default_factory=set)
    records: list[OrderRecord] = field(default_factory=list)

    def give(self, operation, subject, fencing, now):
        """Return whether the order was obeyed.

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
        """Return whether a version is loaded; with no order given, each is."""
        return not self.versions or version in self.versions

    def _apply(self, operation, subject):
        match operation:
            case "load_version":
                self.versions.add(subject)
            case "unload_version":
                self.versions.discard(subject)
