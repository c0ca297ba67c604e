"""Facts spread between entries through the sidecars, without the store."""

import asyncio

from wharf_coordination import Fact, FactKind
from wharf_standins.loopback import Loopback

VETO = Fact(FactKind.VETO, "model@2", "errors")


async def test_veto_reaches_the_other_entry_while_the_store_is_down():
    pipelines = {"ask": {"stages": [{"name": "answer", "pool": "model"}]}}
    async with Loopback({"model": ("dc-1",)}, pipelines, entries=2) as system:
        system.platform.down = True
        first, second = system.entries
        first.facts.publish(VETO)
        async with asyncio.timeout(5):
            while not second.facts.holds(VETO.kind, VETO.subject):
                await asyncio.sleep(0.01)
