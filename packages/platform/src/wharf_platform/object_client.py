"""Client of the platform's object API."""

import aiohttp
from reactivex.subject import Subject
from result import Err, Ok, Result

from wharf_platform.call_kind import CallKind
from wharf_platform.call_limiter import CallLimiter
from wharf_platform.platform_host import PlatformHost
from wharf_platform.read_response import ReadResponse
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
READ_STATUSES = (200, 404, 410)
VERSION_HEADER = "Object-Version"
ERA_HEADER = "Store-Era"
CONDITION_HEADER = "If-Object-Version"
CALL_TIMEOUT_SECONDS = 2.0
WATCH_SECONDS = 20.0
WATCH_TIMEOUT_MARGIN_SECONDS = 5.0


class ObjectClient:
    """Read, conditionally write, watch and list objects over HTTP.

    Each method makes at most one call, and none if `limiter` rejects it. Retries
    are left to the caller, since only it can tell whether a call whose response
    was lost may be repeated. `Unavailable` means that a write had no effect,
    `UnknownOutcome` that it may have had one. Timeouts are in seconds. The era of each
    response that names one is published to the subscribers of `eras`, a subject that
    clients of the same store share.
    """

    def __init__(
        self,
        session,
        base_url,
        call_timeout=CALL_TIMEOUT_SECONDS,
        limiter=None,
        eras=None,
    ):
        self.limiter = limiter or CallLimiter()
        self.eras = Subject() if eras is None else eras
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._call_timeout = call_timeout

    @property
    def calls_by_kind(self):
        """Return the number of calls made, by their kind."""
        return self.limiter.calls_by_kind

    async def get(self, key) -> Result[StoredObject, StoreError]:
        """Return the object at `key`, or one with version ABSENT."""
        response = await self._read(CallKind.READ, key, self._object_path(key))
        return response.and_then(ReadResponse.to_object)

    async def watch(self, key, version) -> Result[StoredObject, StoreError]:
        """Return the object once its version differs from `version`, or at timeout."""
        query = {"after": str(version), "wait": str(WATCH_SECONDS)}
        seconds = WATCH_SECONDS + WATCH_TIMEOUT_MARGIN_SECONDS
        path = self._object_path(key)
        response = await self._read(CallKind.WATCH, key, path, query, seconds)
        return response.and_then(ReadResponse.to_object)

    async def list_versions(self, prefix) -> Result[dict[str, int], StoreError]:
        """Return the version of each object whose key begins with `prefix`."""
        query = {"prefix": prefix}
        response = await self._read(CallKind.LIST, prefix, OBJECTS_PATH, query)
        return response.and_then(ReadResponse.to_versions)

    async def hosts(self) -> Result[list[PlatformHost], StoreError]:
        """Return the platform's list of live and leaving hosts, which lags."""
        response = await self._read(CallKind.HOSTS, HOSTS_PATH, HOSTS_PATH)
        return response.and_then(ReadResponse.to_hosts)

    async def put(self, key, value, version) -> Result[StoredObject, StoreError]:
        """Write `value` if the object still has `version`."""
        path = self._object_path(key)
        return await self._write(CallKind.WRITE, key, path, version, value)

    async def delete(self, key, version) -> Result[StoredObject, StoreError]:
        """Delete the object if it still has `version`."""
        path = f"{DELETIONS_PATH}/{key}"
        deleted = await self._write(CallKind.DELETE, key, path, version, None)
        return deleted.map(lambda _: StoredObject.absent(key))

    async def _write(self, kind, key, path, version, value):
        rejection = await self.limiter.acquire(kind)
        if rejection:
            return Err(Unavailable(key, rejection))
        try:
            # POST, because aiohttp resends a PUT by itself when its response is lost.
            async with self._session.post(
                self._base_url + path,
                data=value,
                headers={CONDITION_HEADER: str(version)},
                timeout=aiohttp.ClientTimeout(total=self._call_timeout),
            ) as response:
                return self._parse_write(key, value, response)
        except aiohttp.ClientConnectorError as error:
            self.limiter.record_failure()
            return Err(Unavailable(key, str(error)))
        except (TimeoutError, aiohttp.ClientError) as error:
            self.limiter.record_failure()
            return Err(UnknownOutcome(key, repr(error)))

    def _parse_write(self, key, value, response):
        era = self._observe_era(response)
        match response.status:
            case 200:
                self.limiter.record_success()
                return _parse_version(key, response).map(
                    lambda version: StoredObject(key, version, value, era)
                )
            case 409:
                self.limiter.record_success()
                return _parse_version(key, response).and_then(
                    lambda version: Err(Conflict(key, version))
                )
            case 413:
                self.limiter.record_success()
                return Err(Unavailable(key, "value is too large"))
            case 429 | 503 as status:
                self.limiter.record_failure()
                return Err(Unavailable(key, f"status {status}"))
            case status:
                self.limiter.record_failure()
                return Err(UnknownOutcome(key, f"status {status}"))

    async def _read(self, kind, subject, path, query=None, seconds=None):
        rejection = await self.limiter.acquire(kind)
        if rejection:
            return Err(Unavailable(subject, rejection))
        timeout = aiohttp.ClientTimeout(total=seconds or self._call_timeout)
        try:
            async with self._session.get(
                self._base_url + path, params=query, timeout=timeout
            ) as response:
                body = await response.read()
        except (TimeoutError, aiohttp.ClientError) as error:
            self.limiter.record_failure()
            return Err(Unavailable(subject, repr(error)))
        if response.status not in READ_STATUSES:
            self.limiter.record_failure()
            return Err(Unavailable(subject, f"status {response.status}"))
        self.limiter.record_success()
        version = response.headers.get(VERSION_HEADER, "")
        era = self._observe_era(response)
        return Ok(ReadResponse(subject, response.status, version, body, era))

    def _observe_era(self, response):
        is_answer = 200 <= response.status <= 599
        era = _parse_era(response) if is_answer else None
        if era is not None:
            self.eras.on_next(era)
        return era

    def _object_path(self, key):
        return f"{OBJECTS_PATH}/{key}"


def _parse_era(response):
    text = response.headers.get(ERA_HEADER, "")
    return int(text) if text.isdecimal() else None


def _parse_version(key, response) -> Result[int, StoreError]:
    text = response.headers.get(VERSION_HEADER, "")
    if text.isdecimal():
        return Ok(int(text))
    return Err(UnknownOutcome(key, f"invalid Object-Version header: {text!r}"))
