"""Report of the runs of one scenario."""

from collections import Counter

from wharf_coordination import Code
from wharf_standins.bench.request_class import REQUEST_CLASSES

__all__ = ["print_report"]


def print_report(shape, scenario, results):
    """Print the results of all variants under one scenario."""
    print(f"\n## {shape.name} {scenario.name} load={scenario.load:.0%}")
    for result in results:
        print(_summary(result))
    for result in results:
        print(_costs(result))
    for result in results:
        print(_refusals(result))
    for result in results:
        print(_customers(result))


def _summary(result):
    shares = " ".join(
        f"{kind.name}={100 * result.attainment(result.of_kind(kind.name)):.1f}%"
        for kind in REQUEST_CLASSES
    )
    tries = max(1, result.first_tries)
    return (
        f"{result.variant:16} {shares} good={result.good}/{len(result.outcomes)}"
        f" retries={result.retries / tries:.1%}"
        f" redirects={result.redirects / tries:.1%}"
        f" falls={result.overload_crashes} cold_excess={result.cold_excess}"
        f" lost={sum(each.is_lost for each in result.outcomes)}"
        f" lost_drafts={result.lost_drafts}"
        f" late_begins={result.late_begins} doubled_holds={result.doubled_holds}"
    )


def _costs(result):
    good = max(1, result.good)
    costs = " ".join(
        f"{pool}={busy / good:.3f}s/{result.wasted_by_pool[pool] / busy:.0%}"
        for pool, busy in sorted(result.busy_by_pool.items())
        if busy
    )
    return f"{result.variant:16} cost per good answer/wasted: {costs}"


def _refusals(result):
    counts = Counter(
        (each.kind, "none" if each.code is None else Code(each.code).label)
        for each in result.outcomes
        if each.code != 0
    )
    text = " ".join(
        f"{kind}:{code}={count}" for (kind, code), count in sorted(counts.items())
    )
    return f"{result.variant:16} refusals: {text or 'none'}"


def _customers(result):
    customers = sorted({each.customer for each in result.outcomes})
    parts = []
    for customer in customers:
        own_outcomes = [each for each in result.outcomes if each.customer == customer]
        parts.append(f"{customer}={100 * result.attainment(own_outcomes):.1f}%")
    return f"{result.variant:16} by customer: {' '.join(parts)}"
