"""Computed cost of propagating a configuration, by links or by a relay tree.

The relay tree is the halving of Sama (group communication for mobile agents): a
process that has the message and a list of receivers sends it, with one half of the
list, to the median of that list, and continues with the other half.
"""

from math import ceil, log2

from wharf_standins.propagation.fleet_size import FleetSize
from wharf_standins.propagation.message_cost import MessageCost
from wharf_standins.propagation.spread_cost import SpreadCost

__all__ = ["direct_spread", "relay_tree"]

BYTES_PER_SECOND = 100e6
DETECTION_SECONDS = 2.0


def direct_spread(size: FleetSize, cost: MessageCost, hop_seconds) -> SpreadCost:
    """Return the cost when entries watch the store and send to their sidecars.

    The store answers all watches in sequence, and an entry sends to its links in
    sequence. In the worst case no entry knows that a sidecar already has the change
    from another one, so each link carries it. A failed entry causes no delay,
    because its sidecars have other links.
    """
    wire_seconds = cost.bytes / BYTES_PER_SECOND
    messages = size.entries + size.entries * size.links_per_entry
    watch_seconds = size.entries * wire_seconds + hop_seconds + cost.adopt_seconds
    send_seconds = size.links_per_entry * (cost.send_seconds + wire_seconds)
    return SpreadCost(
        messages=messages,
        bytes=messages * cost.bytes,
        store_answers=size.entries,
        seconds=watch_seconds + send_seconds + hop_seconds + cost.adopt_seconds,
        lost=0,
        repair_seconds=0.0,
    )


def relay_tree(size: FleetSize, cost: MessageCost, hop_seconds) -> SpreadCost:
    """Return the cost of halving over all processes from one that watches.

    At each level the receiver must adopt the message before it can forward it. The
    first relay serves half of the processes, which do not get the message until the
    missing acknowledgement reveals its failure.
    """
    levels = ceil(log2(size.processes))
    wire_seconds = cost.bytes / BYTES_PER_SECOND
    level_seconds = cost.send_seconds + wire_seconds + hop_seconds + cost.adopt_seconds
    return SpreadCost(
        messages=size.processes,
        bytes=size.processes * cost.bytes,
        store_answers=1,
        seconds=hop_seconds + cost.adopt_seconds + levels * level_seconds,
        lost=size.processes // 2,
        repair_seconds=DETECTION_SECONDS + (levels - 1) * level_seconds,
    )
