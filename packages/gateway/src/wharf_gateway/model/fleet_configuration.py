"""The configuration of all gateways, as set by operators."""

from dataclasses import dataclass
from functools import cached_property
from itertools import groupby

from wharf_gateway.model.caller_limits import CallerLimits
from wharf_gateway.model.customer import Customer
from wharf_gateway.model.route import Route
from wharf_gateway.model.service import Service

__all__ = ["FleetConfiguration"]


@dataclass(frozen=True)
class FleetConfiguration:
    """Routes, services, customers and limits of one version.

    Without `has_customers`, requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    customer_by_key: dict[str, Customer]
    limits: CallerLimits
    has_customers: bool

    @cached_property
    def routes_by_host(self):
        """Return each host's routes, the longest prefix first."""
        ordered = sorted(self.routes, key=lambda r: (r.host, -len(r.path_prefix)))
        return {
            host: tuple(routes) for host, routes in groupby(ordered, lambda r: r.host)
        }

    @cached_property
    def priority_levels(self):
        """Return the number of route priorities, from 0 to the least urgent."""
        return 1 + max((route.priority for route in self.routes), default=0)

    def priority(self, customer, route):
        """Return the priority of a request; lower values are more urgent.

        The customer's priority outranks the route's.
        """
        customer_priority = customer.priority if customer and customer.priority else 0
        return customer_priority * self.priority_levels + route.priority

    def find_route(self, host, path):
        """Return the route of a host with the longest prefix of `path`, or None."""
        host = host.rpartition(":")[0] if _has_port(host) else host
        routes = self.routes_by_host.get(host.lower(), ())
        return next((r for r in routes if path.startswith(r.path_prefix)), None)


def _has_port(host):
    return ":" in host and host.rpartition(":")[2].isdecimal()
