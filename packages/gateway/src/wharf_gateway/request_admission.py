"""Takes in requests: their route, key, time and body."""

import asyncio

from result import Err, Ok

from wharf_coordination.code import Code
from wharf_gateway.own_answer import OwnAnswer
from wharf_gateway.request_context import RequestContext

__all__ = ["RequestAdmission"]

# A stopping process refuses what it may not finish: most answers take less.
FINISH_SECONDS = 2.5
SOON_SECONDS = 0.1  # after which another gateway takes what a stopping one refuses


class RequestAdmission:
    """Decide from the configuration in force whether a request is served.

    `ends_at` is the loop's time by which a stopping process leaves.
    """

    def __init__(self, fleet, dialect, clock):
        self._fleet = fleet
        self._dialect = dialect
        self._clock = clock
        self.ends_at = float("inf")

    async def admit(self, request):
        """Return the request's context once its body is here, or an answer."""
        configuration = self._fleet.configuration
        if configuration is None:
            return Err(OwnAnswer.not_run(Code.NOT_CONFIGURED, "no configuration yet"))
        if self._clock() + FINISH_SECONDS > self.ends_at:
            return Err(OwnAnswer.not_run(Code.ENTRY_STOPPING, "stopping", SOON_SECONDS))
        host = request.headers.get("host", "")
        route = configuration.find_route(host, request.path)
        if route is None:
            return Err(OwnAnswer(404, Code.UNKNOWN_PATH, f"{host} {request.path}"))
        details = self._dialect.read_request(request.headers)
        if details.is_err():
            return Err(OwnAnswer(400, Code.BAD_HEADER, details.unwrap_err()))
        return await self._admit_to(configuration, route, details.unwrap(), request)

    async def _admit_to(self, configuration, route, details, request):
        customer = configuration.customer_by_key.get(details.key or "")
        if configuration.has_customers and customer is None and not route.is_public:
            return Err(OwnAnswer(401, Code.UNKNOWN_CUSTOMER, "unknown key"))
        seconds = route.timeout
        if details.seconds is not None:
            seconds = min(seconds, details.seconds)
        deadline = request.received_at + seconds
        fault = await self._read_body(request, deadline)
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

    async def _read_body(self, request, deadline):
        """Wait for the body; return an answer where it can't be used."""
        try:
            async with asyncio.timeout_at(deadline):
                await request.body_complete.wait()
        except TimeoutError:
            return OwnAnswer(408, Code.DEADLINE_PASSED, "the body didn't arrive")
        if request.too_large:
            return OwnAnswer(
                413, Code.BODY_TOO_LARGE, f"over {len(request.body)} bytes"
            )
        return None
