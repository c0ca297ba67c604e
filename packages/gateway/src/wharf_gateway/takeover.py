"""Decides when another upstream takes over from one that is silent."""

import asyncio

from wharf_gateway.patience import caller_patience, response_timeout

__all__ = ["MAX_SENDS", "Takeover"]

# Attempts that certainly did not run, such as refused connections, don't count towards
# the route's limit. This limit includes them.
MAX_SENDS = 4
# How often a silent upstream is compared anew with the others while none can take over.
CHECK_SECONDS = 0.5
# A wait that ends this late ended in a pause of this process. Answers may not have been
# read yet, and the upstreams may have been paused too, as when a machine is.
LATE_SECONDS = 0.1


class Takeover:
    """Wait for an upstream as long as no other one can take over.

    Pauses of this process don't count as silence of the upstream: the wait begins anew.
    `selector` and `budgets` tell whether one can. A takeover spends its retry at once,
    and says so in `context.has_retry`. `prepare(context)` runs the steps of a request
    again and returns a refusal or None; `drop_inputs(context)` frees their results.
    `is_too_late(context)` returns whether this process stops before another upstream
    would have answered.
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
        while True:
            began = self._clock()
            try:
                async with asyncio.timeout(seconds):
                    return await connection.head()
            except TimeoutError:
                if self._is_late(began + seconds):
                    continue
                if self._takes_over(context):
                    raise
            seconds = CHECK_SECONDS

    async def next_part(self, context, pace, connection):
        """Return the next bytes; raise `TimeoutError` if another upstream takes over.

        While none can, a stalled stream is kept until its caller has given it up.
        """
        is_stalled = False
        while not is_stalled:
            due = max(pace.stalled_at, self._clock())
            try:
                async with asyncio.timeout_at(due):
                    return await connection.next_part()
            except TimeoutError:
                is_stalled = not self._is_late(due)
                if not is_stalled:
                    pace.begin_anew(self._clock())
        given_up_at = pace.last_at + caller_patience(context.route)
        part = asyncio.ensure_future(connection.next_part())
        try:
            return await self._part_of_stalled(context, part, given_up_at)
        finally:
            await _cancel(part)

    async def _part_of_stalled(self, context, part, given_up_at):
        # If this process was paused, the part may be there already.
        await asyncio.wait((part,), timeout=0)
        while not part.done():
            if self._clock() >= given_up_at:
                raise TimeoutError
            is_ready = await self._is_ready_elsewhere(context, part, given_up_at)
            if is_ready and self._takes_over(context):
                raise TimeoutError
            left = given_up_at - self._clock()
            await asyncio.wait((part,), timeout=max(0.0, min(CHECK_SECONDS, left)))
        return part.result()

    async def _is_ready_elsewhere(self, context, part, given_up_at):
        """Run the request's steps again; return whether an upstream could go on.

        This ends when the silent upstream sends a part, or its caller gives up.
        """
        if not self._is_possible(context):
            return False
        if context.inputs is not None or not context.route.steps:
            return True
        refusal = asyncio.ensure_future(self._prepare(context))
        try:
            await asyncio.wait(
                (part, refusal),
                timeout=max(0.0, given_up_at - self._clock()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            is_prepared = refusal.done() and refusal.result() is None
        finally:
            await _cancel(refusal)
        if part.done() or not self._is_possible(context):
            self._drop_inputs(context)
            return False
        return is_prepared

    def _is_late(self, due):
        return self._clock() >= due + LATE_SECONDS

    def _takes_over(self, context):
        """Spend a retry if another upstream can take over; return whether it does."""
        service = context.route.targets[0].service
        if not self._is_possible(context) or not self._budgets.spend(service):
            return False
        context.has_retry = True
        return True

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


async def _cancel(task):
    """Cancel a task and wait for its end, whatever that is."""
    if not task.done():
        task.cancel()
        await asyncio.wait((task,))
    if not task.cancelled():
        task.exception()  # else it is logged as lost
