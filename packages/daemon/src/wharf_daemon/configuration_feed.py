"""The current configuration of this process and its updates."""

import asyncio

import structlog
from pydantic import ValidationError
from reactivex.subject import BehaviorSubject
from result import Err, Ok, Result

from wharf_coordination import LatestRevision
from wharf_platform import StoredObject, Unavailable
from wharf_platform.configuration import CONFIGURATION_KEY, Document
from wharf_wire import ConfigurationOffer

__all__ = ["ConfigurationFeed"]

FIRST_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0
WRITE_AGAIN_SECONDS = 1.0
# A connection may go silent for good without an end. Waiting watches are therefore
# compared with the store this often, by calls that read no document.
CHECK_SECONDS = 5.0
DELIVERY_SECONDS = 0.5  # in which a watch that works has delivered a change

log = structlog.get_logger(__name__)


class ConfigurationFeed:
    """Hold the newest document received from the store or a peer.

    Subscribers to `documents` get the current document and then each new one.
    """

    def __init__(self, metrics):
        self._latest = LatestRevision(0, Document(revision=0))
        self._json = b""
        self._message = None
        self._metrics = metrics
        self.documents = BehaviorSubject(self._latest.value)

    @property
    def document(self) -> Document:
        """Return the current document; revision 0 means none yet."""
        return self._latest.value

    @property
    def json(self):
        """Return the current document's JSON text as received."""
        return self._json

    def offer_message(self) -> ConfigurationOffer:
        """Return the message that offers the current document to peers."""
        if self._message is None:
            self._message = ConfigurationOffer.pack(self.document.revision, self._json)
        return self._message

    def receive(self, message: ConfigurationOffer, source):
        """Adopt the document that a peer offers if it is newer and valid."""
        if message.revision <= self.document.revision:
            return
        match message.unpack():
            case Ok(text):
                self.adopt(text, source)
            case Err(refusal):
                log.warning(
                    "configuration_rejected", source=source, errors=refusal.detail
                )

    def adopt(self, text, source) -> Result[bool, str]:
        """Adopt the document in `text` if it is newer; return whether it was.

        An invalid document is rejected with an error text.
        """
        try:
            document = Document.from_json(text)
        except ValidationError as error:
            log.warning("configuration_rejected", source=source, errors=str(error))
            return Err(str(error))
        if not self._latest.offer(document.revision, document):
            return Ok(False)
        self._json = text
        self._message = None
        self._metrics.revision.set(document.revision)
        log.info("configuration_adopted", revision=document.revision, source=source)
        self.documents.on_next(document)
        return Ok(True)

    async def watch_store(self, client, rng):
        """Watch the store for newer documents, with backoff, until cancelled.

        A store that has come back from a copy, with an older document, gets the current
        one again.
        """
        version, era, failures = 0, None, 0
        while True:
            match await self._watch(client, version):
                case Ok(StoredObject(version=newer, value=value) as stored):
                    failures = 0
                    if (newer, stored.era) != (version, era) and value:
                        self.adopt(value, "store")
                    elif newer == version == 0:
                        await asyncio.sleep(FIRST_RETRY_SECONDS)
                    version, era = newer, stored.era
                    if self._is_outdated(stored):
                        await self._write_again(client, rng)
                case Err():
                    failures += 1
                    # The version may be given out again before the store answers.
                    version = 0
                    bound = FIRST_RETRY_SECONDS * 2 ** min(failures, 10)
                    delay = rng.uniform(0.5, 1.0) * min(MAX_RETRY_SECONDS, bound)
                    await asyncio.sleep(delay)

    async def _watch(self, client, version):
        """Return the result of a watch, or an error if it has missed a change."""
        watch = asyncio.ensure_future(client.watch(CONFIGURATION_KEY, version))
        try:
            while not watch.done():
                await asyncio.wait((watch,), timeout=CHECK_SECONDS)
                if watch.done() or not await self._is_changed(client, version):
                    continue
                await asyncio.wait((watch,), timeout=DELIVERY_SECONDS)
                if not watch.done():
                    log.warning("store_watch_silent", version=version)
                    return Err(Unavailable(CONFIGURATION_KEY, "the watch is silent"))
            return watch.result()
        finally:
            watch.cancel()

    async def _is_changed(self, client, version):
        """Return whether the store is known to have another version than `version`."""
        versions = await client.list_versions(CONFIGURATION_KEY)
        return versions.is_ok() and (
            versions.unwrap().get(CONFIGURATION_KEY, 0) != version
        )

    def _is_outdated(self, stored):
        if stored.era is None or not self.document.revision:
            return False
        if not stored.exists:
            return True
        try:
            document = Document.from_json(stored.value)
        except ValidationError:
            return False
        return document.revision < self.document.revision

    async def _write_again(self, client, rng):
        # One of the entries should write, and the others see that it has.
        await asyncio.sleep(rng.uniform(0, WRITE_AGAIN_SECONDS))
        read = await client.get(CONFIGURATION_KEY)
        if read.is_err() or not self._is_outdated(stored := read.unwrap()):
            return
        operation = f"restored/{stored.era}/{self.document.revision}"
        document = self.document.successor(operation, stored.era)
        written = await client.put(
            CONFIGURATION_KEY, document.to_json(), stored.version
        )
        log.warning(
            "configuration_written_again",
            era=stored.era,
            revision=document.revision,
            written=written.is_ok(),
        )
