"""Decides when the upstreams of one service begin their calls."""

__all__ = ["start_wait"]

# Upstreams that begin together also end together, and pieces that arrive meanwhile wait
# for a whole call. Below this share of an even spacing, calls are spread too little; at
# 1.0 with any number of free upstreams, they are fuller but start too late.
SPACING_SHARE = 0.7
# With more upstreams free than this share, a piece always finds one.
MAX_FREE_SHARE = 0.5


def start_wait(queued, batch_size, free, upstreams, call_seconds, since_last_start):
    """Return the seconds until the next call of a service may begin.

    `queued` pieces wait, `free` of the `upstreams` take a call, a full call takes
    `call_seconds`, and the last one began `since_last_start` seconds ago. A full call
    begins at once.

    >>> round(start_wait(3, 8, 1, 7, 0.4, since_last_start=0.01), 3)
    0.03
    >>> start_wait(8, 8, 1, 7, 0.4, since_last_start=0.01)
    0.0
    """
    if queued >= batch_size or free > MAX_FREE_SHARE * upstreams:
        return 0.0
    spacing = SPACING_SHARE * call_seconds / upstreams
    return max(0.0, spacing - since_last_start)
