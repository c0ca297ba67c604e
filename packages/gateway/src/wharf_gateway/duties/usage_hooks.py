"""What the runs of requests tell the count of usage."""

from wharf_gateway.duties.run_times import RunTimes
from wharf_gateway.model.route_kind import RouteKind

__all__ = ["UsageHooks"]


class UsageHooks:
    """Count requests by what a `RequestRunner` sees of them.

    Times are the event loop's; `unix(now)` converts them. A stream counts at its first
    event, any other request at the estimated begin of its run. Requests without a
    customer aren't counted, nor streams that continue an earlier one.
    """

    def __init__(self, counter, unix):
        self._counter = counter
        self._unix = unix
        self._run_times = RunTimes()

    def sent(self, context, now):
        """Record that a request is sent to an upstream."""
        if context.customer is not None and not _is_stream(context):
            self._counter.begin(id(context), self._unix(now))

    def answered(self, context, sent_at, now):
        """Count a request at its first event or its answer."""
        if context.customer is None or context.details.last_event:
            return
        began_at = now
        if not _is_stream(context):
            began_at = self._run_times.began_at(context.route.name, sent_at, now)
        self._counter.count(
            context.details.id, context.customer.name, self._unix(began_at)
        )

    def ended(self, context, now):
        """Record that a request has ended, answered or not."""
        self._counter.end(id(context))
        has_customer = context.customer is not None
        if has_customer and context.may_have_run and not _is_stream(context):
            self._counter.count_uncertain(context.details.id, self._unix(now))


def _is_stream(context):
    return context.route.kind is RouteKind.STREAM
