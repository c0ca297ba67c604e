"""Client of the platform's object API."""

import aiohttp
from result import Err, Ok, Result

from wharf_platform.store_error import (
    Conflict,
    StoreError,
    Unavailable,
    UnknownOutcome,
)
from wharf_platform.stored_object import ABSENT, StoredObject

__all__ = ["ObjectClient"]

VERSION_HEADER = "Object-Version"
CONDITION_HEADER = "If-Object-Version"
CALL_TIMEOUT_SECONDS = 2.0
WATCH_SECONDS = 20.0
WATCH_GRACE_SECONDS = 5.0


class ObjectClient:
    """Read, conditionally write and watch objects over HTTP.

    Each method makes one call; retrying is for the caller, who knows what a
    lost answer means. `calls_by_kind` counts the calls made.
    """

    def __init__(self, session, base_url, call_timeout=CALL_TIMEOUT_SECONDS):
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._call_timeout = call_timeout
        self.calls_by_kind = {"read": 0, "write": 0, "watch": 0, "list": 0}

    async def get(self, key) -> Result[StoredObject, StoreError]:
        """Return the object under `key`, absent or not."""
        self.calls_by_kind["read"] += 1
        return await self._read(key, {}, self._call_timeout)

    async def watch(self, key, version) -> Result[StoredObject, StoreError]:
        """Wait until `key` differs from `version`, or until the wait ends."""
        self.calls_by_kind["watch"] += 1
        query = {"after": str(version), "wait": str(WATCH_SECONDS)}
        return await self._read(key, query, WATCH_SECONDS + WATCH_GRACE_SECONDS)

    async def put(self, key, value, version) -> Result[StoredObject, StoreError]:
        """Write `value` only if the object still has `version`."""
        self.calls_by_kind["write"] += 1
        headers = {CONDITION_HEADER: str(version)}
        timeout = aiohttp.ClientTimeout(total=self._call_timeout)
        try:
            async with self._session.put(
                self._url(key), data=value, headers=headers, timeout=timeout
            ) as response:
                return self._written(key, value, response)
        except aiohttp.ClientConnectorError as error:
            return Err(Unavailable(key, str(error)))
        except (TimeoutError, aiohttp.ClientError) as error:
            return Err(UnknownOutcome(key, repr(error)))

    def _written(self, key, value, response):
        match response.status:
            case 200:
                version = int(response.headers[VERSION_HEADER])
                return Ok(StoredObject(key, version, value))
            case 409:
                return Err(Conflict(key, int(response.headers[VERSION_HEADER])))
            case 429 | 503:
                return Err(Unavailable(key, f"status {response.status}"))
            case status:
                return Err(UnknownOutcome(key, f"status {status}"))

    async def _read(self, key, query, seconds):
        timeout = aiohttp.ClientTimeout(total=seconds)
        try:
            async with self._session.get(
                self._url(key), params=query, timeout=timeout
            ) as response:
                return await self._object(key, response)
        except (TimeoutError, aiohttp.ClientError) as error:
            return Err(Unavailable(key, repr(error)))

    async def _object(self, key, response):
        match response.status:
            case 200:
                version = int(response.headers[VERSION_HEADER])
                return Ok(StoredObject(key, version, await response.read()))
            case 404:
                return Ok(StoredObject(key, ABSENT, b""))
            case status:
                return Err(Unavailable(key, f"status {status}"))

    def _url(self, key):
        return f"{self._base_url}/v1/objects/{key}"
