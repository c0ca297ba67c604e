"""Open-loop arrivals of requests, with periodic bursts."""

from dataclasses import dataclass
from random import Random

from wharf_standins.bench.request_class import REQUEST_CLASSES, RequestClass

__all__ = ["Arrival", "arrivals"]

BURST_PERIOD_SECONDS = 4.0
BURST_SECONDS = 0.5
BURST_FACTOR = 2.0
BASE_FACTOR = (BURST_PERIOD_SECONDS - BURST_FACTOR * BURST_SECONDS) / (
    BURST_PERIOD_SECONDS - BURST_SECONDS
)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request, sent `at` seconds after the start regardless of earlier ones."""

    number: int
    at: float
    kind: RequestClass
    customer: str


def arrivals(shape, load, seconds, seed, first_number=0):
    """Return the arrivals at `load` times the capacity of `shape`.

    `seconds` is the length of the phase. The arrivals are numbered from
    `first_number`, so that numbers are unique across phases.
    """
    rng = Random(seed)
    rate = shape.capacity() * load
    customers = tuple(shape.share_by_customer)
    weights = tuple(shape.share_by_customer.values())
    shares = tuple(kind.share for kind in REQUEST_CLASSES)
    result, at = [], 0.0
    while (at := at + rng.expovariate(rate * _rate_factor(at))) < seconds:
        kind = rng.choices(REQUEST_CLASSES, shares)[0]
        customer = rng.choices(customers, weights)[0]
        result.append(Arrival(first_number + len(result), at, kind, customer))
    return result


def _rate_factor(at):
    is_burst = at % BURST_PERIOD_SECONDS < BURST_SECONDS
    return BURST_FACTOR if is_burst else BASE_FACTOR
