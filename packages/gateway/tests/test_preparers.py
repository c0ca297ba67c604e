"""Which gateway prepares, among hosts of uneven size that come and go."""

from dataclasses import dataclass, field

import pytest

from wharf_gateway.fleet import Fleet
from wharf_gateway.model.batching import Batching
from wharf_gateway.model.caller_limits import CallerLimits
from wharf_gateway.model.fleet_configuration import FleetConfiguration
from wharf_gateway.model.service import Service
from wharf_gateway.model.upstream import Upstream
from wharf_gateway.peers.candidates import MAX_CANDIDATES, candidates
from wharf_gateway.preparers import Preparers
from wharf_gateway.settings import GatewaySettings
from wharf_gateway.stages.pool import Pool

EVERYWHERE = Pool.named("everywhere")


@dataclass
class Link:
    """A link to a peer that lives."""

    name: str
    data_centre: str = "dc-1"


@dataclass
class Peers:
    """Peers that live, and those that may prepare."""

    names: list = field(default_factory=list)
    candidates: frozenset = frozenset()

    def available(self, now):
        return {name: Link(name, f"dc-{name[-1]}") for name in self.names}


@pytest.fixture
def make_preparers():
    def make(name, peers, candidate_names, fleet=None):
        settings = GatewaySettings(
            name=name,
            data_centre=f"dc-{name[-1]}",
            host="127.0.0.1",
            listen="127.0.0.1:1",
            ready_listen="127.0.0.1:2",
            peer_port=3,
            store="127.0.0.1:4",
        )
        preparers = Preparers(settings, fleet, None, lambda: 0.0)
        preparers.peers = Peers(peers, frozenset(candidate_names))
        return preparers

    return make


@pytest.fixture
def fleet():
    fleet = Fleet(None)
    batching = Batching(1, 2, 4, 0.2, 0.05, 100.0, 4.0)
    services = {
        name: Service(name, "/", 100, 0.0, 0.0, batching=batching)
        for name in ("fetch", "encode")
    }
    fleet.configuration = FleetConfiguration(1, (), services, {}, CallerLimits(), False)
    for service, counts in (("fetch", (3, 3)), ("encode", (3, 2))):
        for centre, count in enumerate(counts):
            for number in range(count):
                name = f"{service}-{centre}-{number}"
                fleet.add(
                    Upstream(name, service, name, f"dc-{centre}", "v1", 1, False, 1)
                )
    return fleet


def test_pools_are_the_same_whatever_steps_a_request_has(make_preparers, fleet):
    """A route whose only service has enough upstreams in each data centre had pools
    of its own there, beside the one of the other routes with the same upstreams."""
    preparers = make_preparers("large-1", [], ["large-1"], fleet)

    assert preparers.choose_pool("dc-0", 0.0).name == "everywhere"

    fleet.add(Upstream("encode-1-9", "encode", "e", "dc-1", "v1", 1, False, 1))
    assert preparers.choose_pool("dc-0", 1.0).name == "dc-0"


def _owner_name(preparers, pool=EVERYWHERE):
    link = preparers.owner(pool, 0.0)
    return link.name if link else "self"


def test_small_hosts_leave_the_preparing_to_large_ones():
    """A host of 0.4 cores prepared for a fleet of 90 requests a second, and served a
    fifth of them."""
    small = {f"small-{number}": 0.387 for number in range(21)}
    large = {f"large-{number}": 2.15 for number in range(8)}

    assert candidates(small | large) == set(large)


def test_hosts_of_one_size_all_may_prepare_up_to_a_bound():
    assert len(candidates({f"g{number}": 0.8 for number in range(5)})) == 5
    assert len(candidates({f"g{number}": 0.8 for number in range(170)})) == (
        MAX_CANDIDATES
    )


def test_all_gateways_agree_on_the_preparer(make_preparers):
    large = ["large-1", "large-2"]
    small = make_preparers("small-3", large, large)
    first = make_preparers("large-1", ["large-2", "small-3"], large)
    second = make_preparers("large-2", ["large-1", "small-3"], large)

    chosen = _owner_name(small)

    assert chosen in large
    by_name = {"large-1": first, "large-2": second}
    assert _owner_name(by_name.pop(chosen)) == "self"
    assert _owner_name(by_name.popitem()[1]) == chosen


def test_a_candidate_of_the_pools_data_centre_goes_first(make_preparers):
    large = ["large-1", "large-2"]
    small = make_preparers("small-3", large, large)

    assert _owner_name(small, Pool.named("dc-2")) == "large-2"


def test_a_gateway_that_sees_no_candidate_prepares_itself(make_preparers):
    assert _owner_name(make_preparers("small-3", ["small-4"], ["large-1"])) == "self"


def test_a_stopping_candidate_leaves_the_preparing_to_others(make_preparers):
    preparers = make_preparers("large-1", ["large-2"], ["large-1", "large-2"])
    preparers.is_ready = lambda: False

    assert _owner_name(preparers) == "large-2"
