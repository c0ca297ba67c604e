"""Waits that end before a stopping process exits."""

import asyncio

import pytest

from wharf_gateway.routing.route_times import DEFAULT_SECONDS, RouteTimes


async def _seconds_waited(shutdown, timeout, margin):
    started = asyncio.get_running_loop().time()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(timeout) as scope:
            with shutdown.bounding(scope, margin):
                await asyncio.Event().wait()
    return asyncio.get_running_loop().time() - started


async def test_a_wait_that_began_before_the_stop_ends_with_it(shutdown):
    loop = asyncio.get_running_loop()
    loop.call_later(0.02, shutdown.begin, loop.time() + 0.3)

    assert await _seconds_waited(shutdown, None, 0.2) == pytest.approx(0.1, abs=0.05)


async def test_a_wait_that_begins_during_the_stop_ends_with_it(shutdown):
    shutdown.begin(asyncio.get_running_loop().time() + 0.3)

    assert await _seconds_waited(shutdown, 5.0, 0.2) == pytest.approx(0.1, abs=0.05)


async def test_a_stop_does_not_prolong_a_wait(shutdown):
    shutdown.begin(asyncio.get_running_loop().time() + 5.0)

    assert await _seconds_waited(shutdown, 0.05, 0.2) == pytest.approx(0.05, abs=0.04)


async def test_a_stop_that_begins_after_a_wait_has_ended_leaves_it_alone(shutdown):
    await _seconds_waited(shutdown, 0.01, 0.0)

    shutdown.begin(0.0)

    assert shutdown.lacks(0.0, 0.1)


def test_times_of_a_route_follow_its_requests():
    times = RouteTimes()
    for _ in range(40):
        times.record("a", 4.0, 1.0)

    assert times.request_seconds("a") == pytest.approx(4.0)
    assert times.upstream_seconds("a") == pytest.approx(1.0, abs=0.01)
    assert times.request_seconds("b") == DEFAULT_SECONDS


def test_times_of_removed_routes_are_forgotten():
    times = RouteTimes()
    times.record("a", 4.0, 1.0)

    times.retain({"b"})

    assert times.request_seconds("a") == DEFAULT_SECONDS
