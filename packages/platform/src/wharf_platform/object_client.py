"""Client of the platform's object API."""

import aiohttp
from result import Err, Ok, Result

from wharf_platform.call_kind import CallKind
from wharf_platform.call_limiter import CallLimiter
from wharf_platform.platform_host import PlatformHost
from wharf_platform.read_answer import ReadAnswer
from wharf_platform.store_error import (
    Conflict,
    StoreError,
    Unavailable,
    UnknownOutcome,
)
from wharf_platform.stored_object import StoredObject

__all__ = ["ObjectClient"]

OBJECTS_PATH = "/v1/objects"
DELETIONS_PATH = "/v1/deletions"
HOSTS_PATH = "/v1/hosts"
READ_STATUSES = (200, 404)
VERSION_HEADER = "Object-Version"
CONDITION_HEADER = "If-Object-Version"
CALL_TIMEOUT_SECONDS = 2.0
WATCH_SECONDS = 20.0
WATCH_GRACE_SECONDS = 5.0


class ObjectClient:
    """Read, conditionally write, watch and list objects over HTTP.

    Each method makes at most one call, as the `limiter` permits. Retrying is for
    the caller, who knows what a lost answer means. `Unavailable` says that a
    write certainly had no effect; `UnknownOutcome` that it may have had one.
    """

    def __init__(
        self, session, base_url, call_timeout=CALL_TIMEOUT_SECONDS, limiter=None
    ):
        self.limiter = limiter or CallLimiter()
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._call_timeout = call_timeout

    @property
    def calls_by_kind(self):
        """Return the number of calls made, by their kind."""
        return self.limiter.calls_by_kind

    async def get(self, key) -> Result[StoredObject, StoreError]:
        """Return the object under `key`, absent or not."""
        answer = await self._read(CallKind.READ, key, self._object_path(key))
        return answer.and_then(ReadAnswer.to_object)

    async def watch(self, key, version) -> Result[StoredObject, StoreError]:
        """Wait until `key` differs from `version`, or until the wait ends."""
        query = {"after": str(version), "wait": str(WATCH_SECONDS)}
        seconds = WATCH_SECONDS + WATCH_GRACE_SECONDS
        path = self._object_path(key)
        answer = await self._read(CallKind.WATCH, key, path, query, seconds)
        return answer.and_then(ReadAnswer.to_object)

    async def list_versions(self, prefix) -> Result[dict[str, int], StoreError]:
        """Return the version of each object whose key begins with `prefix`."""
        query = {"prefix": prefix}
        answer = await self._read(CallKind.LIST, prefix, OBJECTS_PATH, query)
        return answer.and_then(ReadAnswer.to_versions)

    async def hosts(self) -> Result[list[PlatformHost], StoreError]:
        """Return the platform's lagging list of live and leaving hosts."""
        answer = await self._read(CallKind.HOSTS, HOSTS_PATH, HOSTS_PATH)
        return answer.and_then(ReadAnswer.to_hosts)

    async def put(self, key, value, version) -> Result[StoredObject, StoreError]:
        """Write `value` only if the object still has `version`."""
        path = self._object_path(key)
        written = await self._write(CallKind.WRITE, key, path, version, value)
        return written.map(lambda newer: StoredObject(key, newer, value))

    async def delete(self, key, version) -> Result[StoredObject, StoreError]:
        """Delete the object only if it still has `version`."""
        path = f"{DELETIONS_PATH}/{key}"
        deleted = await self._write(CallKind.DELETE, key, path, version, None)
        return deleted.map(lambda _: StoredObject.absent(key))

    async def _write(self, kind, key, path, version, value):
        held_back = await self.limiter.enter(kind)
        if held_back:
            return Err(Unavailable(key, held_back))
        try:
            # By POST, since aiohttp silently resends a PUT whose answer was lost.
            async with self._session.post(
                self._base_url + path,
                data=value,
                headers={CONDITION_HEADER: str(version)},
                timeout=aiohttp.ClientTimeout(total=self._call_timeout),
            ) as response:
                return self._written(key, response)
        except aiohttp.ClientConnectorError as error:
            self.limiter.refused()
            return Err(Unavailable(key, str(error)))
        except (TimeoutError, aiohttp.ClientError) as error:
            self.limiter.refused()
            return Err(UnknownOutcome(key, repr(error)))

    def _written(self, key, response):
        match response.status:
            case 200:
                self.limiter.answered()
                return _version(key, response)
            case 409:
                self.limiter.answered()
                return _version(key, response).and_then(
                    lambda version: Err(Conflict(key, version))
                )
            case 413:
                self.limiter.answered()
                return Err(Unavailable(key, "the value is too large"))
            case 429 | 503 as status:
                self.limiter.refused()
                return Err(Unavailable(key, f"status {status}"))
            case status:
                self.limiter.refused()
                return Err(UnknownOutcome(key, f"status {status}"))

    async def _read(self, kind, subject, path, query=None, seconds=None):
        held_back = await self.limiter.enter(kind)
        if held_back:
            return Err(Unavailable(subject, held_back))
        timeout = aiohttp.ClientTimeout(total=seconds or self._call_timeout)
        try:
            async with self._session.get(
                self._base_url + path, params=query, timeout=timeout
            ) as response:
                body = await response.read()
        except (TimeoutError, aiohttp.ClientError) as error:
            self.limiter.refused()
            return Err(Unavailable(subject, repr(error)))
        if response.status not in READ_STATUSES:
            self.limiter.refused()
            return Err(Unavailable(subject, f"status {response.status}"))
        self.limiter.answered()
        version = response.headers.get(VERSION_HEADER, "")
        return Ok(ReadAnswer(subject, response.status, version, body))

    def _object_path(self, key):
        return f"{OBJECTS_PATH}/{key}"


def _version(key, response) -> Result[int, StoreError]:
    text = response.headers.get(VERSION_HEADER, "")
    if text.isdecimal():
        return Ok(int(text))
    return Err(UnknownOutcome(key, f"bad version {text!r}"))
