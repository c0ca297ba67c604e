"""Requests of an entry that are under way when it stops."""

import asyncio

import pytest

from wharf_daemon.entry.running_requests import EntryStoppedError, RunningRequests

LONG_SECONDS = 1000.0


@pytest.fixture
def requests():
    return RunningRequests(max_requests=2)


# Guards against a request that goes on after the end since it was between two steps.
@pytest.mark.parametrize("is_ended_before", [False, True])
async def test_end_ends_each_step(requests, is_ended_before):
    loop = asyncio.get_running_loop()
    if is_ended_before:
        requests.end()
    else:
        loop.call_later(1.0, requests.end)
    with pytest.raises(EntryStoppedError):
        async with requests.until_end():
            await asyncio.sleep(LONG_SECONDS)
    assert loop.time() < LONG_SECONDS


async def test_other_time_limits_pass(requests):
    with pytest.raises(TimeoutError):
        async with requests.until_end(), asyncio.timeout(1.0):
            await asyncio.sleep(LONG_SECONDS)


async def test_full_or_ended_requests_refuse(requests):
    with requests.admit("a"), requests.admit("b"), requests.admit("c") as third:
        assert third.unwrap_err().code.label == "entry_full"
    requests.end()
    with requests.admit("d") as late:
        assert late.unwrap_err().code.label == "entry_stopping"
    assert len(requests) == 0


# Guards against an idle moment that ends before its waiter sees it.
async def test_idle_is_not_reported_while_a_request_runs(requests):
    with requests.admit("a"):
        waiter = asyncio.create_task(requests.wait_until_idle(LONG_SECONDS))
        await asyncio.sleep(1.0)
    with requests.admit("b"):
        await asyncio.sleep(1.0)
        assert not waiter.done()
    assert await waiter
