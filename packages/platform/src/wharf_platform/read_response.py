"""The platform's response to a read."""

from dataclasses import dataclass

from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from wharf_platform.platform_host import PlatformHost
from wharf_platform.store_error import StoreError, Unavailable
from wharf_platform.stored_object import StoredObject

__all__ = ["ReadResponse"]

NOT_FOUND = 404
GONE = 410

_VERSION_BY_KEY = TypeAdapter(dict[str, int])
_HOSTS = TypeAdapter(list[PlatformHost])


@dataclass(frozen=True, slots=True)
class ReadResponse:
    """Status, version and body of a response, not yet validated."""

    subject: str
    status: int
    version: str
    body: bytes
    era: int | None = None

    def to_object(self) -> Result[StoredObject, StoreError]:
        """Return the object, or one with version ABSENT for status 404."""
        if self.status == NOT_FOUND:
            return Ok(StoredObject.absent(self.subject, self.era))
        if self.status == GONE:
            detail = "the store has no such version to watch from"
            return Err(Unavailable(self.subject, detail))
        if not self.version.isdecimal():
            return Err(
                Unavailable(self.subject, f"invalid object version: {self.version!r}")
            )
        return Ok(StoredObject(self.subject, int(self.version), self.body, self.era))

    def to_versions(self) -> Result[dict[str, int], StoreError]:
        """Return the listed versions by key."""
        return self._parse(_VERSION_BY_KEY)

    def to_hosts(self) -> Result[list[PlatformHost], StoreError]:
        """Return the listed hosts."""
        return self._parse(_HOSTS)

    def _parse(self, adapter):
        try:
            return Ok(adapter.validate_json(self.body))
        except ValidationError as error:
            return Err(Unavailable(self.subject, f"invalid response body: {error}"))
