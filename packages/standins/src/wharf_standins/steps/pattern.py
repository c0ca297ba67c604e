"""Load patterns for upstreams that run steps."""

from dataclasses import dataclass

from wharf_gateway.model.batching import Batching
from wharf_gateway.model.step import Step
from wharf_standins.steps.step_class import StepClass

__all__ = ["PATTERNS", "Burst", "Pattern"]


@dataclass(frozen=True, slots=True)
class Burst:
    """A time of `seconds` from `start` with `factor` times the usual rate.

    It applies to the class called `name`, or to all classes if that is empty.
    """

    start: float
    seconds: float
    factor: float
    name: str = ""


@dataclass(frozen=True, slots=True)
class Pattern:
    """Classes of requests, services and the events of a trial.

    `upstreams_by_service` has the number of upstreams in each data centre.
    `outages` has (service, data centre, start, end): during this time, in seconds,
    the first upstream of the service there is unavailable. `load` multiplies the
    rates of all classes. `gateways` has (name, data centre, capacity); without any,
    one preparer serves each pool. `restarts` has (gateway, start, whether it is killed
    instead of stopped).
    """

    classes: tuple[StepClass, ...]
    batching_by_service: dict[str, Batching]
    upstreams_by_service: dict[str, tuple[int, ...]]
    bursts: tuple[Burst, ...] = ()
    outages: tuple[tuple[str, int, float, float], ...] = ()
    seconds: float = 34.0
    load: float = 1.0
    gateways: tuple[tuple[str, str, float], ...] = ()
    restarts: tuple[tuple[str, float, bool], ...] = ()


_KILOBYTE = 1000
_FETCH = Batching(1, 2, 4, 0.2, 0.042, 9e6, 4.0)
_ENCODE = Batching(1, 2, 12, 0.2, 0.014, 1.543e6, 4.0)
_RANK = Batching(1, 2, 28, 0.2, 0.00607, 0.3706e6, 4.0)
_ATTACHMENTS = Step("fetch", (), 1500 * _KILOBYTE)
_CHAIN = (
    Step("fetch", (), 8 * _KILOBYTE),
    Step("encode", (0,), 60 * _KILOBYTE),
    Step("rank", (1,), 6 * _KILOBYTE),
)
_LONG_CHAIN = (
    _ATTACHMENTS,
    Step("fetch", (), 8 * _KILOBYTE),
    Step("encode", (1,), 60 * _KILOBYTE),
    Step("rank", (2,), 6 * _KILOBYTE),
)
_CHAIN_PIECES = ((1, 1, 1.0), (4, 4, 1.0), (10, 25, 1.0))
_DRAFTS = StepClass(
    *("drafts", 5.11, 2.0, 6.0, 3.2, 1, _LONG_CHAIN),
    ((1.5, 6, 0.4), *_CHAIN_PIECES),
    (1.0, 0.3, 1.0, 1.0),
)
_QUESTIONS = StepClass(
    *("questions", 5.48, 1.9, 6.0, 2.0, 0, _CHAIN), _CHAIN_PIECES, (0.3, 1.0, 1.0)
)
_NOTES = StepClass(
    *("notes", 2.72, 0.91, 10.0, 0.83, 2, (_ATTACHMENTS,)), ((2.5, 10, 0.7),), (1.0,)
)
_BATCHINGS = {"fetch": _FETCH, "encode": _ENCODE, "rank": _RANK}
_ONE_EACH = dict.fromkeys(_BATCHINGS, (1, 1, 1))
_CLASSES = (_DRAFTS, _QUESTIONS, _NOTES)

_MARKET_BATCHINGS = {
    "fetch": Batching(1, 2, 7, 0.2, 0.024, 15.75e6, 4.0),
    "encode": Batching(1, 2, 20, 0.2, 0.00852, 2.583e6, 4.0),
    "rank": Batching(1, 2, 32, 0.2, 0.00534, 0.4295e6, 4.0),
}
_LONG_PIECES = ((1.5, 6, 0.4), *_CHAIN_PIECES)
# Texts have a short soft deadline for their long chain, and the lowest priority.
_MARKET = (
    StepClass(
        *("reports", 8.32, 1.0, 5.0, 3.2, 1, (_ATTACHMENTS,)), ((2.5, 10, 0.7),), (1.0,)
    ),
    StepClass(
        *("answers", 8.94, 1.9, 6.0, 2.0, 0, _CHAIN), _CHAIN_PIECES, (0.3, 1.0, 1.0)
    ),
    StepClass(
        *("texts", 4.41, 1.8, 15.0, 0.83, 2, _LONG_CHAIN),
        _LONG_PIECES,
        (1.0, 0.3, 1.0, 1.0),
    ),
)

_MANY_BATCHINGS = {
    "fetch": Batching(1, 2, 8, 0.2, 0.021, 18e6, 4.0),
    "encode": Batching(1, 2, 26, 0.2, 0.00657, 3.436e6, 4.0),
    "rank": Batching(1, 2, 58, 0.2, 0.003, 0.77e6, 4.0),
}
_MANY_UPSTREAMS = {
    "fetch": (3, 3, 2, 2),
    "encode": (2, 2, 2, 2),
    "rank": (3, 2, 2, 2),
}
# Rates with the larger fleet, relative to the fleet with one upstream per pool.
_MANY_LOAD = 6.5

# The two deployments whose upstreams share hosts: digests, replies and notes, of which
# 30% of digests and 60% of notes need no large pieces.
_CHAIN_OF_REPLY = ((1, 1, 1.0), (6, 6, 1.0), (10, 25, 1.0))
_FIRST_BATCHINGS = {
    "fetch": Batching(1, 2, 8, 0.2, 0.021, 18e6, 4.0),
    "encode": Batching(1, 2, 23, 0.2, 0.0074, 3.1e6, 4.0),
    "rank": Batching(1, 2, 34, 0.2, 0.005, 0.44e6, 4.0),
}
_SECOND_BATCHINGS = {
    "fetch": Batching(1, 2, 8, 0.2, 0.021, 18e6, 4.0),
    "encode": Batching(1, 2, 26, 0.2, 0.0066, 3.4e6, 4.0),
    "rank": Batching(1, 2, 38, 0.2, 0.0045, 0.51e6, 4.0),
}
# With these numbers service 1 runs at about two thirds of the rate of full calls, the
# others at half, as on a calm day.
_SHARED_UPSTREAMS = {
    "fetch": (2, 2, 1, 1),
    "encode": (2, 2, 2, 1),
    "rank": (2, 2, 2, 2),
}


def _shared_classes(rates, targets, worths, late_shares):
    digest = StepClass(
        *("digests", rates[0], targets[0], 6.18, worths[0], 0, (_ATTACHMENTS,)),
        *(((2.5, 10, 0.7),), (1.0,), late_shares[0]),
    )
    reply = StepClass(
        *("replies", rates[1], targets[1], 6.03, worths[1], 2, _CHAIN),
        *(_CHAIN_OF_REPLY, (1.0, 1.0, 1.0), late_shares[1]),
    )
    note = StepClass(
        *("notes", rates[2], targets[2], 20.15, worths[2], 1, _LONG_CHAIN),
        *(((1.5, 6, 0.4), *_CHAIN_OF_REPLY), (1.0,) * 4, late_shares[2]),
    )
    return (digest, reply, note)


_FIRST = _shared_classes(
    (18.9, 22.8, 18.6), (1.235, 4.019, 2.015), (5.2, 0.76, 0.42), (0.06, 0.22, 0.15)
)
_SECOND = _shared_classes(
    (23.0, 27.0, 15.4), (1.135, 2.019, 1.915), (3.4, 1.9, 0.72), (0.15, 0.15, 0.15)
)
_SHARED_BURSTS = (
    Burst(4.0, 5.0, 2.4, "digests"),
    Burst(15.0, 5.0, 2.4, "replies"),
    Burst(26.0, 4.0, 1.8),
)
_LARGE_GATEWAYS = tuple((f"large-{n}", f"dc-{n % 4}", 2.0) for n in range(8))
_SMALL_GATEWAYS = tuple((f"small-{n}", f"dc-{n % 4}", 0.5) for n in range(22))
# Twelve gateways are killed, some again before they are back, while the others are
# stopped in turn. For two seconds no gateway with much capacity is ready.
_LOSSES = (
    *((f"large-{n}", 5.0, False) for n in range(4)),
    *((f"large-{n}", at, True) for n in range(4, 8) for at in (6.0, 6.85, 7.7)),
    *((f"small-{n}", 6.0, True) for n in range(8)),
    *((f"small-{n}", 4.0 + n / 3, False) for n in range(8, 22)),
)

PATTERNS = {
    "steady": Pattern(_CLASSES, _BATCHINGS, _ONE_EACH),
    "burst-of-drafts": Pattern(
        *(_CLASSES, _BATCHINGS, _ONE_EACH), (Burst(6.0, 6.3, 2.4, "drafts"),)
    ),
    "burst-of-all": Pattern(
        *(_CLASSES, _BATCHINGS, _ONE_EACH), (Burst(6.0, 6.0, 1.7),), load=1.15
    ),
    "lost-fetch": Pattern(
        *(_CLASSES, _BATCHINGS, _ONE_EACH),
        (Burst(6.0, 6.2, 2.4, "drafts"),),
        (("fetch", 0, 10.0, 14.1),),
        load=1.1,
    ),
    "burst-of-answers": Pattern(
        *(_MARKET, _MARKET_BATCHINGS, _ONE_EACH), (Burst(3.0, 6.5, 2.4, "answers"),)
    ),
    "overload": Pattern(_CLASSES, _BATCHINGS, _ONE_EACH, load=2.0),
    # A data centre is emptied for the rest of the day: a third of the upstreams.
    "centre-out": Pattern(
        *(_CLASSES, _MANY_BATCHINGS, dict.fromkeys(_BATCHINGS, (4, 4, 0))),
        (Burst(6.0, 5.0, 1.5),),
        load=6.0,
    ),
    "market-centre-out": Pattern(
        *(_MARKET, _MARKET_BATCHINGS, dict.fromkeys(_BATCHINGS, (4, 4, 0))),
        (Burst(6.0, 6.0, 2.4, "reports"), Burst(18.0, 6.0, 2.3, "answers")),
        load=3.7,
    ),
    "long-overload": Pattern(
        *(_MARKET, _MARKET_BATCHINGS, dict.fromkeys(_BATCHINGS, (4, 4, 4))),
        (Burst(6.0, 12.0, 2.0),),
        load=4.0,
    ),
    "many-upstreams": Pattern(
        *(_CLASSES, _MANY_BATCHINGS, _MANY_UPSTREAMS),
        (Burst(6.0, 5.0, 2.4, "drafts"), Burst(18.0, 5.0, 2.4, "questions")),
        load=_MANY_LOAD,
    ),
    "shared-first": Pattern(
        *(_FIRST, _FIRST_BATCHINGS, _SHARED_UPSTREAMS, _SHARED_BURSTS)
    ),
    "shared-second": Pattern(
        *(_SECOND, _SECOND_BATCHINGS, _SHARED_UPSTREAMS, _SHARED_BURSTS)
    ),
    "shared-calm": Pattern(_FIRST, _FIRST_BATCHINGS, _SHARED_UPSTREAMS),
    "preparers-lost": Pattern(
        *(_FIRST, _FIRST_BATCHINGS, _SHARED_UPSTREAMS),
        seconds=12.0,
        gateways=_LARGE_GATEWAYS + _SMALL_GATEWAYS,
        restarts=_LOSSES,
    ),
}
