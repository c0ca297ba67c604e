"""Admits requests by their route, customer, deadline and body."""

import asyncio

from result import Err, Ok

from wharf_coordination.code import Code
from wharf_gateway.gateway_response import GatewayResponse
from wharf_gateway.request_context import RequestContext

__all__ = ["RequestAdmission"]

# A stopping process refuses requests that arrive less than this before it exits, also
# if those of their route are usually answered sooner.
FINISH_SECONDS = 2.5


class RequestAdmission:
    """Decide by the current configuration whether a request is admitted.

    A process that stops, as `shutdown` says, admits what it usually finishes in the
    time that is left; `route_times` has how long the requests of each route take. The
    customer is told to `budget`, a `ByteBudget`.
    """

    def __init__(self, fleet, dialect, clock, shutdown, route_times, budget=None):
        self._fleet = fleet
        self._dialect = dialect
        self._clock = clock
        self._shutdown = shutdown
        self._route_times = route_times
        self._budget = budget

    async def admit(self, request):
        """Wait for the body; return the request's context, or a refusal."""
        configuration = self._fleet.configuration
        if configuration is None:
            return Err(
                GatewayResponse.not_run(Code.NOT_CONFIGURED, "no configuration yet")
            )
        host = request.headers.get("host", "")
        route = configuration.find_route(host, request.path)
        if route is None:
            return Err(
                GatewayResponse(404, Code.UNKNOWN_PATH, f"{host} {request.path}")
            )
        details = self._dialect.read_request(request.headers)
        if details.is_err():
            return Err(GatewayResponse(400, Code.BAD_HEADER, details.unwrap_err()))
        return await self._admit_to(configuration, route, details.unwrap(), request)

    async def _admit_to(self, configuration, route, details, request):
        customer = configuration.customer_by_key.get(details.key or "")
        if configuration.has_customers and customer is None and not route.is_public:
            return Err(GatewayResponse(401, Code.UNKNOWN_CUSTOMER, "unknown key"))
        if customer and self._budget and request.account:
            self._budget.assign(request.account, customer.name)
        needed = max(FINISH_SECONDS, self._route_times.request_seconds(route.name))
        if not self._shutdown.admits(needed, self._clock()):
            return Err(GatewayResponse.stopping())
        seconds = route.timeout
        if details.seconds is not None:
            seconds = min(seconds, details.seconds)
        deadline = request.received_at + seconds
        fault = await self._read_body(request, deadline, needed)
        if fault is not None:
            return Err(fault)
        return Ok(
            RequestContext(
                request,
                route,
                details,
                customer,
                configuration.has_customers,
                request.received_at + route.target_latency,
                deadline,
                configuration.priority(customer, route),
            )
        )

    async def _read_body(self, request, deadline, needed):
        """Wait for the body; return a refusal if it is late or too large.

        A stopping process waits while `needed` seconds are left.
        """
        try:
            async with asyncio.timeout_at(deadline) as scope:
                with self._shutdown.bounding(scope, needed):
                    await request.body_complete.wait()
        except TimeoutError:
            if self._clock() < deadline:
                return GatewayResponse.stopping()
            return GatewayResponse(
                408, Code.DEADLINE_PASSED, "body not received before the deadline"
            )
        if request.retry_after is not None:
            return GatewayResponse.not_run(
                Code.ENTRY_FULL, "no memory for the request", request.retry_after
            )
        if request.too_large:
            return GatewayResponse(
                413, Code.BODY_TOO_LARGE, f"over {len(request.body)} bytes"
            )
        if not self._shutdown.admits(needed, self._clock()):
            return GatewayResponse.stopping()
        return None
