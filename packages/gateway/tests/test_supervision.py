"""Tasks that go on after an error."""

import asyncio

from structlog.testing import capture_logs

from wharf_gateway.supervision import supervised


# Guards against a gateway that goes on serving while one of its tasks has ended by an
# error: it no longer followed the store, or refused nothing that couldn't be on time.
async def test_task_that_fails_is_logged_and_started_again():
    calls = []

    async def run():
        calls.append(len(calls))
        if len(calls) < 3:
            raise ValueError(f"call {len(calls)}")
        await asyncio.Event().wait()

    with capture_logs() as lines:
        task = supervised("watch configuration", run)
        await asyncio.sleep(0.35)

    assert calls == [0, 1, 2]
    assert [line["task"] for line in lines] == ["watch configuration"] * 2
    task.cancel()
    await asyncio.wait([task])
    assert task.cancelled()


async def test_task_that_returns_is_not_started_again():
    async def run():
        return 7

    assert await supervised("once", run) == 7
