"""Measured time until all processes on loopback have adopted a change."""

import asyncio
from dataclasses import dataclass
from itertools import chain

from wharf_standins.loopback import Loopback

__all__ = ["LoopbackSpread"]

PIPELINES = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}


@dataclass(frozen=True, slots=True)
class LoopbackSpread:
    """Seconds until all processes had adopted each of several changes.

    `copies` is the mean number of documents sent over links for a change.
    """

    entries: int
    sidecars: int
    seconds: tuple[float, ...]
    copies: float

    @classmethod
    async def measure(cls, entries, sidecars, changes):
        """Publish changes one after the other and time each."""
        shape = {"model": ("dc-1",) * sidecars}
        async with Loopback(shape, PIPELINES, entries=entries) as system:
            before = _copies(system)
            seconds = [await _time_change(system) for _ in range(changes)]
            copies = (_copies(system) - before) / changes
        return cls(entries, sidecars, tuple(seconds), copies)


def _copies(system):
    processes = chain(system.entries, system.sidecar_by_name.values())
    return sum(
        process.metrics.configuration_offers._value.get() for process in processes
    )


async def _time_change(system):
    loop = asyncio.get_running_loop()
    document = system.entries[0].feed.document.successor("measured")
    adoptions = [
        _wait_until_adopted(process.feed, document.revision)
        for process in chain(system.entries, system.sidecar_by_name.values())
    ]
    begin = loop.time()
    await system.publish(document)
    await asyncio.gather(*adoptions)
    return loop.time() - begin


async def _wait_until_adopted(feed, revision):
    adopted = asyncio.Event()

    def observe(document):
        if document.revision >= revision:
            adopted.set()

    subscription = feed.documents.subscribe(observe)
    await adopted.wait()
    subscription.dispose()
