"""Capacity reserved for more urgent calls."""

from wharf_coordination.priority import Priority

__all__ = ["limit_for_priority"]

RESERVED_SHARE_BY_PRIORITY = {
    Priority.URGENT: 0.0,
    Priority.INTERACTIVE: 0.0,
    Priority.STANDARD: 0.1,
    Priority.PATIENT: 0.25,
}


def limit_for_priority(priority, limit):
    """Return how much of `limit` is open to calls of `priority`.

    A call of `priority` is admitted while fewer calls than that are in flight.

    >>> [limit_for_priority(priority, 8) for priority in Priority]
    [8, 8, 8, 6]
    """
    whole = int(limit)
    return whole - int(whole * RESERVED_SHARE_BY_PRIORITY[priority])
