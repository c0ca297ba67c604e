"""HTTP client of the operators' API of the system's processes."""

import asyncio

import aiohttp
from result import Err, Ok, Result

__all__ = ["ProcessClient"]

CALL_TIMEOUT_SECONDS = 1.0


class ProcessClient:
    """Read the state of processes and send them configurations."""

    def __init__(self, session):
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)

    async def dump(self, address) -> Result[dict, str]:
        """Return the state of the process at `address` (HOST:PORT), or an error."""
        return await self._call("GET", address, "/dump", None)

    async def offer(self, address, text) -> Result[dict, str]:
        """Send a published configuration to the process at `address`."""
        return await self._call("PUT", address, "/configuration", text)

    async def offer_all(self, addresses, text):
        """Send a published configuration to all `addresses`, ignoring failures."""
        await asyncio.gather(*(self.offer(address, text) for address in addresses))

    async def _call(self, method, address, path, data):
        url = f"http://{address}{path}"
        try:
            async with self._session.request(
                method, url, data=data, timeout=self._timeout
            ) as response:
                if response.status != 200:
                    return Err(f"{url} returned status {response.status}")
                return Ok(await response.json())
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Err(f"{url}: {str(error) or repr(error)}")
