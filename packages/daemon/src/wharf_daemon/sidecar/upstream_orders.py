"""HTTP client for orders to a sidecar's upstream."""

import aiohttp
from result import Err, Ok, Result

from wharf_coordination import Code, Refusal
from wharf_wire import Order

__all__ = ["UpstreamOrders"]

ORDER_TIMEOUT_SECONDS = 5.0


class UpstreamOrders:
    """Send orders to one upstream."""

    def __init__(self, session, base_url):
        self._session = session
        self._url = base_url.rstrip("/") + "/v1/orders"

    async def send(self, order: Order) -> Result[None, Refusal]:
        """Send `order` and return the upstream's result."""
        fields = {
            "operation": order.operation,
            "subject": order.subject,
            "fencing": order.fencing,
        }
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_SECONDS)
        try:
            async with self._session.post(
                self._url, json=fields, timeout=timeout
            ) as response:
                return self._result(response.status)
        except aiohttp.ClientConnectorError as error:
            return Err(Refusal.not_run(Code.UPSTREAM_FAILED, str(error)))
        except (TimeoutError, aiohttp.ClientError) as error:
            return Err(Refusal.unknown(Code.UNKNOWN_OUTCOME, repr(error)))

    def _result(self, status):
        match status:
            case 200:
                return Ok(None)
            case 409:
                detail = "the upstream has seen a newer fencing token"
                return Err(Refusal.not_run(Code.STALE_FENCING, detail))
            case _:
                detail = f"upstream answered status {status} to an order"
                return Err(Refusal.unknown(Code.UPSTREAM_FAILED, detail))
