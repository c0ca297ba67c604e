"""A demonstration of the whole system on loopback."""

import asyncio
import json
import logging

import structlog

from wharf_standins.loopback import Loopback

__all__ = ["demo"]

DATA_CENTRES = ("windhoek-1", "windhoek-2", "windhoek-3")
STAGES = ("encode", "retrieve", "rerank", "generate")
REQUESTS = 20
CONCURRENCY = 4


def demo():
    """Answer sample notes through four stages and check the answers."""
    only_warnings = structlog.make_filtering_bound_logger(logging.WARNING)
    structlog.configure(wrapper_class=only_warnings)
    return asyncio.run(_demo())


async def _demo():
    shape = dict.fromkeys(STAGES, DATA_CENTRES)
    stages = [{"name": stage, "pool": stage} for stage in STAGES]
    async with Loopback(shape, {"report": {"stages": stages}}) as system:
        room = asyncio.Semaphore(CONCURRENCY)
        answers = await asyncio.gather(
            *(_ask(system, room, number) for number in range(REQUESTS))
        )
    own = sum(answers)
    print(f"{own} of {REQUESTS} callers got their own answer")
    return 0 if own == REQUESTS else 1


async def _ask(system, room, number):
    note = {"note": f"anvil {number}"}
    url = f"{system.entry_url()}/v1/pipelines/report"
    headers = {"Customer": "acme"}
    async with (
        room,
        system.session.post(url, data=json.dumps(note), headers=headers) as response,
    ):
        answer = await response.json()
        return response.status == 200 and answer["echo"] == note
