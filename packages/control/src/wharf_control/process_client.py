"""Client of the operators' ports of the system's processes."""

import asyncio

import aiohttp
from result import Err, Ok, Result

__all__ = ["ProcessClient"]

CALL_SECONDS = 1.0


class ProcessClient:
    """Ask processes for their state and hand them configurations."""

    def __init__(self, session):
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=CALL_SECONDS)

    async def dump(self, address) -> Result[dict, str]:
        """Return the state of the process at `address`."""
        return await self._call("GET", address, "/dump", None)

    async def offer(self, address, text) -> Result[dict, str]:
        """Hand over an accepted configuration."""
        return await self._call("PUT", address, "/configuration", text)

    async def offer_all(self, addresses, text):
        """Hand an accepted configuration to all processes that can be reached."""
        await asyncio.gather(*(self.offer(address, text) for address in addresses))

    async def _call(self, method, address, path, data):
        url = f"http://{address}{path}"
        try:
            async with self._session.request(
                method, url, data=data, timeout=self._timeout
            ) as response:
                if response.status != 200:
                    return Err(f"{url} answered status {response.status}")
                return Ok(await response.json())
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            return Err(f"{url}: {str(error) or repr(error)}")
