"""The platform's answer to a read."""

from dataclasses import dataclass

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from wharf_platform.platform_host import PlatformHost
from wharf_platform.store_error import StoreError, Unavailable
from wharf_platform.stored_object import StoredObject

__all__ = ["ReadAnswer"]

NOT_FOUND = 404

_VERSION_BY_KEY = TypeAdapter(dict[str, int])
_HOSTS = TypeAdapter(list[PlatformHost])


@dataclass(frozen=True, slots=True)
class ReadAnswer:
    """Status, version and body, before they are checked."""

    subject: str
    status: int
    version: str
    body: bytes

    def to_object(self) -> Result[StoredObject, StoreError]:
        """Return the object, absent or not."""
        if self.status == NOT_FOUND:
            return Ok(StoredObject.absent(self.subject))
        if not self.version.isdecimal():
            return Err(Unavailable(self.subject, f"bad version {self.version!r}"))
        return Ok(StoredObject(self.subject, int(self.version), self.body))

    def to_versions(self) -> Result[dict[str, int], StoreError]:
        """Return the listed versions by key."""
        return self._parsed(_VERSION_BY_KEY)

    def to_hosts(self) -> Result[list[PlatformHost], StoreError]:
        """Return the listed hosts."""
        return self._parsed(_HOSTS)

    def _parsed(self, adapter):
        try:
            return Ok(adapter.validate_json(self.body))
        except ValidationError as error:
            return Err(Unavailable(self.subject, f"bad answer: {error}"))
