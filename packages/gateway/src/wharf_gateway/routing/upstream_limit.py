"""The limit that an upstream names, and this gateway's share of it."""

from dataclasses import dataclass

from wharf_coordination.rate_share import RateShare

__all__ = ["UpstreamLimit"]


@dataclass(slots=True)
class UpstreamLimit:
    """Requests a second that an upstream takes from all gateways together.

    `rate` is None if the last answer named no limit. `known_at` is when that answer
    came to any gateway, in seconds of the event loop. `share` is this gateway's part.
    """

    rate: float | None
    known_at: float
    share: RateShare
