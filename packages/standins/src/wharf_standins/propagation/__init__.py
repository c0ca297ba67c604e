"""Time and cost of propagating a configuration, measured and computed."""

from wharf_standins.propagation.fleet_size import FleetSize
from wharf_standins.propagation.spread_cost import SpreadCost
from wharf_standins.propagation.spread_model import direct_spread, relay_tree

__all__ = ["FleetSize", "SpreadCost", "direct_spread", "relay_tree"]
