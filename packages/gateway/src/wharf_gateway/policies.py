"""Which policies of routing and preparation a deployment uses."""

__all__ = ["routes_by_expected_time", "prepares_by_loss"]


def routes_by_expected_time(settings, service, shared_host_services):
    """Return whether a service's upstreams are chosen by expected time.

    `shared_host_services` are the services whose upstreams report the pace of their
    hosts. Where they don't, "auto" keeps the choice by load: estimates from latencies
    alone brought no more requests on time on a calm day (612 of 697 against 623), and
    three times as many tokens of shared prompt parts were read again.
    """
    match settings.routing_policy:
        case "auto":
            return service in shared_host_services
        case policy:
            return policy == "by_expected_time"


def prepares_by_loss(settings, shared_host_services):
    """Return whether preparations are ordered by what callers lose by waiting.

    "auto" does so if any upstream reports the pace of its host, as all services share
    the preparers, or if the deployment has no rollouts.
    """
    match settings.preparation_policy:
        case "auto":
            return bool(shared_host_services) or not settings.has_rollouts
        case policy:
            return policy == "by_loss"
