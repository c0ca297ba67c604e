"""A process that was paused acts on nothing that may have run out meanwhile."""

import asyncio
import time

import pytest

from wharf_gateway.boot_time_loop import BootTimeLoop
from wharf_gateway.pause_guard import PauseGuard


class Store:
    """Whether the store was asked again, and has answered."""

    def __init__(self):
        self.asked = 0
        self.has_answered = False

    def ask(self):
        self.asked += 1
        self.has_answered = False


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def guard(store):
    return PauseGuard(0.0, store.ask, lambda: store.has_answered)


def test_steady_steps_are_no_pause(guard, store):
    for tenth in range(100):
        guard.step(tenth / 10)
    assert guard.is_sure(10.0)
    assert store.asked == 0


@pytest.mark.parametrize("seconds", [1.0, 3.0, 30.0])
def test_a_paused_process_waits_for_the_store(guard, store, seconds):
    """The first step after the pause may be that of a request."""
    assert not guard.is_sure(seconds)
    assert not guard.is_sure(seconds + 0.5)
    store.has_answered = True
    assert guard.is_sure(seconds + 0.6)
    assert store.asked == 1


def test_a_paused_process_serves_by_what_it_knows_if_the_store_is_away(guard, store):
    assert not guard.is_sure(5.0)
    for tenth in range(1, 11):
        guard.step(5.0 + tenth / 10)
    assert guard.is_sure(6.0)


def test_a_second_pause_is_noticed_too(guard, store):
    guard.is_sure(5.0)
    store.has_answered = True
    assert guard.is_sure(5.1)
    assert not guard.is_sure(9.0)
    assert store.asked == 2


async def test_a_request_waits_until_the_process_is_sure(store):
    loop = asyncio.get_running_loop()
    guard = PauseGuard(loop.time() - 5.0, store.ask, lambda: store.has_answered)
    began = loop.time()
    loop.call_later(0.1, setattr, store, "has_answered", True)

    await guard.wait_sure(loop.time)

    assert loop.time() - began >= 0.1


def test_time_goes_on_while_the_machine_is_suspended():
    loop = BootTimeLoop()
    try:
        assert loop.time() == pytest.approx(
            time.clock_gettime(time.CLOCK_BOOTTIME), abs=0.1
        )
    finally:
        loop.close()
