"""Waits of requests for upstreams that are at their limits or want no requests."""

import asyncio

from wharf_coordination.code import Code
from wharf_gateway.gateway_response import GatewayResponse

__all__ = ["ENGINE_SECONDS", "LimitWaits"]

# Usual time of an engine up to its first event.
ENGINE_SECONDS = 0.25
# A request that will be late anyway waits no longer for an upstream at its limit.
MAX_LATE_SECONDS = 0.5
# After which a caller may retry if only other gateways may send to the upstreams.
ELSEWHERE_RETRY_SECONDS = 0.5
DEFAULT_RETRY_SECONDS = 0.5  # after which a caller that was refused may retry


class LimitWaits:
    """Let requests wait for an upstream that wants no more of them yet, or refuse them.

    An upstream names a limit, or says that it wants nothing for a time. `selector` is
    the `UpstreamSelector` of the requests.
    """

    def __init__(self, selector, shutdown, meter, clock):
        self._selector = selector
        self._shutdown = shutdown
        self._meter = meter
        self._clock = clock

    def refusal_at_once(self, context, answer):
        """Return the refusal of a request that would wait too long, or None.

        The refusal is `answer` if limits aren't the cause.
        """
        seconds = self._selector.limit_wait(context, self._clock())
        if self._is_within(context, seconds):
            return None
        return self.refusal(context, answer)

    async def wait(self, context):
        """Wait for an upstream that wants no more requests yet.

        Return its state, or None if that takes too long or limits aren't the cause.
        """
        while True:
            now = self._clock()
            state = self._selector.first_within_limit(context, now)
            seconds = 0.0 if state is None else state.limit_wait(now)
            if seconds <= 0 or not self._is_within(context, seconds):
                return None
            seconds = state.reserve_send(now)
            self._meter.observe("wharf_limit_wait_seconds", seconds)
            await asyncio.sleep(seconds)
            now = self._clock()
            if self._selector.is_usable(state, now):
                return state
            state = self._selector.select(context, now)
            if state is not None:
                return state

    def retry_after(self, context):
        """Return the seconds after which a refused caller may retry."""
        seconds = self._selector.quiet_wait(context, self._clock())
        return seconds if seconds > 0 else DEFAULT_RETRY_SECONDS

    def refusal(self, context, answer):
        """Return the refusal for limits that upstreams name, or else `answer`."""
        now = self._clock()
        quiet = self._selector.quiet_wait(context, now)
        seconds = max(quiet, self._selector.limit_wait(context, now))
        if seconds <= 0:
            return answer
        if quiet > 0:
            self._meter.count("wharf_quiet_refusals")
            return GatewayResponse.not_run(
                Code.UPSTREAM_FULL,
                "all upstreams want no requests",
                seconds if seconds < float("inf") else quiet,
            )
        self._meter.count("wharf_limit_refusals")
        return GatewayResponse.not_run(
            Code.UPSTREAM_FULL,
            "all upstreams are at the limits they name",
            seconds if seconds < float("inf") else ELSEWHERE_RETRY_SECONDS,
        )

    def _is_within(self, context, seconds):
        """Return whether a request sent after `seconds` is answered on time.

        One that is late already takes what no other request has reserved. While all
        upstreams want no requests, late answers are better than none.
        """
        if seconds <= 0:
            return True
        ends_at = self._clock() + seconds + ENGINE_SECONDS
        if ends_at > min(context.deadline, self._shutdown.ends_at):
            return False
        if self._selector.quiet_wait(context, self._clock()) > 0:
            return True
        return ends_at <= context.soft_deadline or seconds <= MAX_LATE_SECONDS
