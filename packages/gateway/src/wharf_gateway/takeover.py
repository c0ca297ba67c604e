"""Decides when another upstream takes over from one that is silent."""

import asyncio

from wharf_gateway.patience import caller_patience, response_timeout

__all__ = ["MAX_SENDS", "Takeover"]

# Attempts that certainly did not run, such as refused connections, don't count towards
# the route's limit. This limit includes them.
MAX_SENDS = 4
# How often a silent upstream is compared anew with the others while none can take over.
CHECK_SECONDS = 0.5


class Takeover:
    """Wait for an upstream as long as no other one can take over.

    `selector` and `budgets` tell whether one can. `prepare(context)` runs the steps of
    a request again and returns a refusal or None; `drop_inputs(context)` frees their
    results. `is_too_late(context)` returns whether this process stops before another
    upstream would have answered.
    """

    def __init__(self, selector, budgets, prepare, drop_inputs, is_too_late, clock):
        self._selector = selector
        self._budgets = budgets
        self._prepare = prepare
        self._drop_inputs = drop_inputs
        self._is_too_late = is_too_late
        self._clock = clock

    async def head(self, context, state, connection):
        """Return the response's head; raise `TimeoutError` to try another upstream."""
        seconds = response_timeout(context.route, state.latency)
        try:
            async with asyncio.timeout(seconds):
                return await connection.head()
        except TimeoutError:
            if self._is_possible(context):
                raise
        return await connection.head()

    async def next_part(self, context, pace, connection):
        """Return the next bytes; raise `TimeoutError` if another upstream takes over.

        While none can, a stalled stream is kept until its caller has given it up.
        """
        given_up_at = pace.last_at + caller_patience(context.route)
        until = pace.stalled_at
        while True:
            try:
                async with asyncio.timeout_at(until):
                    return await connection.next_part()
            except TimeoutError:
                now = self._clock()
                if now >= given_up_at:
                    raise
                if self._is_possible(context):
                    async with asyncio.timeout_at(given_up_at):
                        return await self._part_or_takeover(context, connection)
                until = min(now + CHECK_SECONDS, given_up_at)

    async def _part_or_takeover(self, context, connection):
        """Return the next bytes; raise `TimeoutError` once another could take over."""
        is_prepared = context.inputs is not None or not context.route.steps
        part = asyncio.ensure_future(connection.next_part())
        refusal = asyncio.ensure_future(
            asyncio.sleep(0) if is_prepared else self._prepare(context)
        )
        try:
            await asyncio.wait((part, refusal), return_when=asyncio.FIRST_COMPLETED)
            if not part.done() and refusal.result() is None:
                raise TimeoutError
            data = await part
            if not is_prepared:
                self._drop_inputs(context)
            return data
        finally:
            part.cancel()
            refusal.cancel()

    def _is_possible(self, context):
        """Return whether an upstream may take over from one that is silent."""
        route, now = context.route, self._clock()
        return (
            route.may_repeat
            and max(context.sends, len(context.tried)) < MAX_SENDS
            and len(context.tried) < route.max_attempts
            and not self._is_too_late(context)
            and self._selector.has_alternative(context, now)
            and self._budgets.has_retry(route.targets[0].service)
        )
