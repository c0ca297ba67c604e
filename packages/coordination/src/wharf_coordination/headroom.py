"""Room that is kept free for more urgent calls."""

from wharf_coordination.priority import Priority

__all__ = ["bound_for"]

SHARE_BY_PRIORITY = {
    Priority.URGENT: 1.0,
    Priority.INTERACTIVE: 1.0,
    Priority.STANDARD: 0.9,
    Priority.PATIENT: 0.75,
}


def bound_for(priority, limit):
    """Return how many calls may run, under `limit`, for one more of `priority`.

    >>> [bound_for(priority, 8) for priority in Priority]
    [8, 8, 7, 6]
    """
    return max(min(1, int(limit)), int(limit * SHARE_BY_PRIORITY[priority]))
