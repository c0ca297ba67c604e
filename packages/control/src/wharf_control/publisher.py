"""Publication of a configuration change."""

import asyncio
import uuid
from dataclasses import asdict
from random import Random

import aiohttp
from result import Err, Ok

from wharf_control.change_refused import Invalid, Superseded
from wharf_control.document_change import DocumentChange
from wharf_control.exit_code import ExitCode
from wharf_control.fleet_state import FleetState
from wharf_control.outcome import Outcome
from wharf_control.process_client import ProcessClient
from wharf_platform import ConditionalUpdate, Conflict, ObjectClient, UnknownOutcome
from wharf_platform.configuration import CONFIGURATION_KEY, Document

__all__ = ["Publisher"]

POLL_INTERVAL_SECONDS = 0.1


class Publisher:
    """Write a change to the store, send it to the entries and await its activation.

    It is also sent to the entries directly, so that it spreads even if the store
    fails right after accepting it. `wait` is in seconds; 0 does not wait.
    """

    def __init__(self, session, platform, wait=0.0):
        self._update = ConditionalUpdate(ObjectClient(session, platform), Random())
        self._processes = ProcessClient(session)
        self._wait = wait

    @classmethod
    def run(cls, platform, wait, fields, **options) -> Outcome:
        """Publish one change in an event loop of its own."""

        async def publish():
            async with aiohttp.ClientSession() as session:
                publisher = cls(session, platform, wait)
                return await publisher.publish(fields, **options)

        return asyncio.run(publish())

    async def publish(self, fields, is_exclusive=False, base=None) -> Outcome:
        """Publish the change of `fields` and return its outcome."""
        change = DocumentChange(uuid.uuid4().hex, fields, is_exclusive, base)
        match await self._update.run(CONFIGURATION_KEY, change):
            case Ok(stored):
                return await self._accepted(stored.value)
            case Err(Superseded(revision=revision)):
                return _refused(
                    f"another writer has published revision {revision}", revision
                )
            case Err(Conflict(version=version)):
                return _refused(
                    f"another writer has written object version {version}", version
                )
            case Err(Invalid(place=place, expected=expected)):
                line = f"{place}: {expected}"
                fields = {"faults": [{"place": place, "expected": expected}]}
                return Outcome(ExitCode.FAULTY, (line,), fields)
            case Err(UnknownOutcome(detail=detail)):
                line = f"unknown: {detail}; `wharfctl show` prints what is stored"
                return Outcome(ExitCode.UNKNOWN, (line,), {"detail": detail})
            case Err(error):
                return Outcome.unavailable(error)

    async def _accepted(self, text):
        document = Document.from_json(text)
        addresses = [entry.operators for entry in document.folder.entries.values()]
        await self._processes.offer_all(addresses, text)
        accepted = f"accepted: revision {document.revision}"
        fields = {"revision": document.revision}
        if not self._wait:
            return Outcome(ExitCode.OK, (accepted,), fields)
        behind = await self._wait_until_in_force(document)
        if not behind:
            lines = (accepted, "in force everywhere")
            return Outcome(ExitCode.OK, lines, fields | {"behind": []})
        lines = (accepted, "not in force at:", *(f"  {state}" for state in behind))
        fields |= {"behind": [asdict(state) for state in behind]}
        return Outcome(ExitCode.NOT_IN_FORCE, lines, fields)

    async def _wait_until_in_force(self, document):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._wait
        while True:
            state = await FleetState.query(self._processes, document.folder)
            behind = state.behind(document.revision)
            if not behind or loop.time() >= deadline:
                return behind
            await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _refused(reason, revision):
    return Outcome(
        ExitCode.REFUSED, (f"refused: {reason}",), {"other_revision": revision}
    )
