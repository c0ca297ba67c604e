"""Command that measures and computes the propagation of configurations."""

import asyncio
import logging
from statistics import median

import structlog

from wharf_standins.propagation.fleet_size import FleetSize
from wharf_standins.propagation.loopback_spread import LoopbackSpread
from wharf_standins.propagation.message_cost import MessageCost, target_document
from wharf_standins.propagation.spread_model import direct_spread, relay_tree

__all__ = ["propagation"]

SIZES = ((1, 4), (2, 10), (4, 20), (8, 24))
TARGET_SECONDS = 2.0
TARGET = FleetSize(entries=340, sidecars=1700, links_per_entry=40)
REGION_HOP_SECONDS = 0.1


def propagation(*, changes: int = 5, links: int = TARGET.links_per_entry):
    """Time changes on loopback and compute the propagation at the target size.

    :param changes: changes to time at each size
    :param links: sidecars that an entry is linked to at the target size
    """
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    measured = [
        asyncio.run(LoopbackSpread.measure(entries, sidecars, changes))
        for entries, sidecars in SIZES
    ]
    for spread in measured:
        print(
            f"{spread.entries} entries, {spread.sidecars} sidecars: "
            f"median {median(spread.seconds) * 1000:.0f} ms, "
            f"longest {max(spread.seconds) * 1000:.0f} ms, "
            f"{spread.copies:.1f} copies a change"
        )
    _report_target(links)
    longest = max(max(spread.seconds) for spread in measured)
    return 0 if longest <= TARGET_SECONDS else 1


def _report_target(links):
    cost = MessageCost.measure(target_document())
    print(
        f"target message: {cost.bytes / 1000:.0f} KB, "
        f"{cost.send_seconds * 1000:.2f} ms to send, "
        f"{cost.adopt_seconds * 1000:.2f} ms to adopt"
    )
    size = FleetSize(TARGET.entries, TARGET.sidecars, links)
    for model in (direct_spread, relay_tree):
        spread = model(size, cost, REGION_HOP_SECONDS)
        print(
            f"{model.__name__}: {spread.messages:.0f} messages, "
            f"{spread.bytes / 1e6:.0f} MB, {spread.store_answers} store answers, "
            f"{spread.seconds:.2f} s; one failed relay: {spread.lost} processes late "
            f"by {spread.repair_seconds:.2f} s"
        )
