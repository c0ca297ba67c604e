"""The soak finds each promise broken on purpose, and a short run finds none."""

import asyncio

import pytest

from wharf_standins.soak.call import Call, CallKind, Ending
from wharf_standins.soak.checks import broken_promises
from wharf_standins.soak.run import SoakRun
from wharf_standins.soak.wire import EVENTS, answer_body, event

STREAM = b"".join(event("r1", number) for number in range(EVENTS))


def _call(kind=CallKind.UNSAFE, **fields):
    sound = {
        "status": 200,
        "body": STREAM if kind is CallKind.STREAM else answer_body("r1"),
        "is_signed": True,
        "ending": Ending.WHOLE,
        "runs": [0.1],
        "is_calm": True,
    }
    return Call("r1", kind, "gateway-0", 0.0, 0.2, **(sound | fields))


@pytest.mark.parametrize("kind", list(CallKind))
def test_a_sound_answer_breaks_nothing(kind):
    assert broken_promises([_call(kind)]) == []


@pytest.mark.parametrize(
    ("promise", "call"),
    [
        ("runs once", _call(runs=[0.1, 0.2])),
        ("runs once", _call(CallKind.STREAM, runs=[0.1, 0.2])),
        ("not run is true", _call(status=503, body=b"")),
        ("leaving upstreams", _call(late_runs=1)),
        ("own whole answer", _call(is_signed=False)),
        ("own whole answer", _call(body=answer_body("r2"))),
        ("own whole answer", _call(body=answer_body("r1")[:-1])),
        ("own whole answer", _call(CallKind.STREAM, body=STREAM[: len(STREAM) // 2])),
        (
            "own whole answer",
            _call(CallKind.STREAM, body=event("r1", 1) + event("r1", 0)),
        ),
        ("planned work cuts nothing", _call(ending=Ending.CUT, status=None)),
        ("planned work cuts nothing", _call(ending=Ending.WAITING, status=None)),
    ],
)
def test_each_broken_promise_is_found(promise, call):
    assert [finding.promise for finding in broken_promises([call])] == [promise]


def test_a_request_that_crosses_the_close_of_its_connection_is_not_lost():
    """Seed 12: the gateway stopped listening while a connection waited to be taken."""
    crossing = _call(ending=Ending.CUT, status=None, runs=[])
    crossing.ended_at = 0.1
    assert broken_promises([crossing]) == []

    crossing.ended_at = 0.3
    assert len(broken_promises([crossing])) == 1


def test_what_unplanned_trouble_cuts_is_allowed():
    cut = _call(CallKind.STREAM, body=STREAM[:30], ending=Ending.CUT, is_calm=False)
    assert broken_promises([cut]) == []


@pytest.mark.parametrize("seed", [3, 4, 12])
def test_a_short_soak_finds_nothing(seed):
    assert asyncio.run(SoakRun(seed, 3.0).play()) == []
