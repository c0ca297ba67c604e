"""Routes the preparation of each request to a pool and to its preparing gateway."""

import asyncio

import structlog
from result import Err, Ok

from wharf_coordination.rendezvous import ranked
from wharf_gateway.peers.messages import Free
from wharf_gateway.policies import prepares_by_loss
from wharf_gateway.stages.pool import Pool, pools_of
from wharf_gateway.stages.preparation_failure import (
    PREPARER_STOPS,
    PreparationFailure,
)
from wharf_gateway.stages.preparer import Preparer

__all__ = ["PreparationRouter"]

log = structlog.get_logger(__name__)

MAX_ATTEMPTS = 3  # gateways that one preparation is sent to
# Another data centre's pool is chosen only if its backlog is this much shorter, since
# the results then have to be transferred between data centres.
REMOTE_PENALTY_SECONDS = 0.15
# Backlog that one request adds to a pool until the next load notice includes it.
REQUEST_BACKLOG_SECONDS = 0.04
POOLS_CACHE_SECONDS = 0.1  # upstreams change within seconds
# How long a request waits for a gateway that may prepare before its own gateway does.
# A process that was killed is back within a second, one that is linked again sooner.
RETURN_WAIT_SECONDS = 0.4
# At most this share of the time that a request has left is spent on that wait.
RETURN_WAIT_SHARE = 0.25
RETURN_POLL_SECONDS = 0.05
# Reasons of failures after which the preparation is sent to another gateway.
RETRYABLE_REASONS = ("link lost", "peer silent", PREPARER_STOPS)


class PreparationRouter:
    """Choose the pool of each request and the gateway that prepares for the pool.

    `preparer_by_pool` holds the preparers of the pools that this gateway prepares
    for. `peers` offers the links to the other gateways.
    """

    def __init__(self, settings, fleet, client, clock):
        self._settings = settings
        self._fleet = fleet
        self._client = client
        self._clock = clock
        self.preparer_by_pool = {}
        self._unreported_by_pool = {}
        self._cached_pools = []
        self._pools_until = float("-inf")
        self._is_handing_over = False
        self.peers = None
        self.meter = None
        self.is_ready = lambda: True

    def preparer(self, name):
        """Return this gateway's preparer for a pool, created on first use."""
        if name not in self.preparer_by_pool:
            self.preparer_by_pool[name] = Preparer(
                self._fleet,
                self._client,
                Pool.named(name),
                self._clock,
                self._settings,
            )
        return self.preparer_by_pool[name]

    def owner(self, pool, now):
        """Return the link to the gateway that prepares for a pool.

        None means this gateway. Candidates in the pool's data centre are preferred.
        All gateways rank the candidates alike, so that no agreement is needed. If
        there are no candidates, each gateway prepares its own requests.
        """
        links = self.peers.available(now)
        return links.get(self._first(pool, links, self.peers.candidates))

    def preparing_gateway(self, pool, now):
        """Return the rank of the gateway that prepares for a pool, and its link.

        Without a candidate, the policy `by_loss` chooses among the reserves. The rank
        is "candidate", "reserve", or "own" if there is neither, in which case this
        gateway prepares its own requests. The link is None if this is the gateway.
        """
        links = self.peers.available(now)
        ranks = {"candidate": self.peers.candidates}
        if self.is_by_loss:
            ranks["reserve"] = self.peers.reserves
        for rank, names in ranks.items():
            name = self._first(pool, links, names)
            if name is not None:
                return rank, links.get(name)
        return "own", None

    @property
    def is_by_loss(self):
        """Return whether preparations are ordered by what callers lose by waiting."""
        return prepares_by_loss(self._settings, self._fleet.shared_host_services)

    def _first(self, pool, links, names):
        """Return the name of the first of the ready gateways among `names`, or None."""
        own = self._settings
        centre_by_name = {
            name: link.data_centre for name, link in links.items() if name in names
        }
        if self.is_ready() and own.name in names:
            centre_by_name[own.name] = own.data_centre
        if not centre_by_name:
            return None
        local = [name for name, dc in centre_by_name.items() if pool.contains(dc)]
        return ranked(pool.name, local or centre_by_name)[0]

    def choose_pool(self, data_centre, now):
        """Return the pool with the shortest backlog, favouring a data centre's own."""
        pools = self._pools(now)
        if len(pools) == 1:
            return pools[0]
        return min(
            pools,
            key=lambda pool: (
                self._backlog(pool, now)
                + (0.0 if pool.contains(data_centre) else REMOTE_PENALTY_SECONDS),
                pool.name,
            ),
        )

    def _pools(self, now):
        """Return the pools, which are the same for all routes.

        Pools that share upstreams would compete for them.
        """
        if now >= self._pools_until:
            self._pools_until = now + POOLS_CACHE_SECONDS
            self._cached_pools = pools_of(
                [
                    (service, state.upstream.data_centre)
                    for service in self._fleet.step_services
                    for state in self._fleet.states(service)
                ]
            )
        return self._cached_pools

    async def run(self, preparation, context):
        """Return the handles of a request's results, or a `PreparationFailure`.

        The pool and the owner's link are stored in `context`.
        """
        answer = Err(PreparationFailure("no gateway prepares"))
        for _ in range(MAX_ATTEMPTS):
            if self.is_by_loss:
                pool, rank, link = await self._await_preparer(preparation)
                self._count(rank)
            else:
                pool, _, link = self._find_preparer(preparation, self._clock())
            context.pool = pool.name
            self._add_unreported(pool, self._clock())
            if link is None:
                answer = await self.preparer(pool.name).run(preparation)
            else:
                answer = await link.prepare(preparation, pool.name)
            match answer:
                case Err(PreparationFailure(reason, _)) if reason in RETRYABLE_REASONS:
                    log.info(
                        "prepare_again", request=preparation.call_id, reason=reason
                    )
                case Ok(handles):
                    context.preparer_link = link
                    return Ok(handles)
                case _:
                    return answer
        return answer

    def _find_preparer(self, preparation, now):
        """Return the pool of a preparation, and who prepares for it."""
        pool = self.choose_pool(preparation.preferred_data_centre, now)
        return pool, *self.preparing_gateway(pool, now)

    async def _await_preparer(self, preparation):
        """Find the preparer; wait while there is none for all, as long as that pays.

        Calls of single gateways have few pieces each and keep the upstreams from the
        preparer that returns.
        """
        now = began = self._clock()
        left = preparation.hard_deadline - began
        until = began + min(RETURN_WAIT_SECONDS, left * RETURN_WAIT_SHARE)
        while True:
            found = self._find_preparer(preparation, now)
            is_own = found[1] == "own"
            if not is_own or now >= until:
                break
            await asyncio.sleep(RETURN_POLL_SECONDS)
            now = self._clock()
        if now > began:
            self._count("waited")
            log.info(
                "preparer_awaited",
                request=preparation.call_id,
                seconds=round(now - began, 3),
                found=not is_own,
            )
        return found

    def _count(self, rank):
        if self.meter is not None:
            self.meter.count("wharf_preparers", rank)

    def dump(self, now):
        """Return the state of this gateway's preparers, for operators."""
        return {
            name: preparer.dump(now) for name, preparer in self.preparer_by_pool.items()
        }

    def free(self, context, handles):
        """Drop results that are no longer needed."""
        if context.preparer_link is None:
            self.preparer(context.pool).free(handles)
        elif not context.preparer_link.is_closed:
            context.preparer_link.post(Free(context.pool, tuple(handles)))
        else:
            self._client.free_orphaned(handles)

    @property
    def pending_count(self):
        """Return the number of preparations that wait or run in this gateway."""
        return sum(
            preparer.pending_count for preparer in self.preparer_by_pool.values()
        )

    def load(self):
        """Return whether this gateway accepts preparations, and its backlogs.

        Backlogs are in seconds, at most 60, for the pools that it prepares for.
        """
        now = self._clock()
        backlogs = {
            name: round(min(preparer.backlog(now), 60.0), 4)
            for name, preparer in self.preparer_by_pool.items()
            if self._prepares_for(preparer.pool, now)
        }
        return self.is_ready(), backlogs

    def hand_over(self):
        """Let other gateways prepare what waits here, as this one stops.

        What others can't take now is handed over once one of them is ready.
        """
        self._is_handing_over = True
        for preparer in list(self.preparer_by_pool.values()):
            preparer.hand_over()

    def advance(self, now):
        """Advance this gateway's preparers."""
        if self.is_by_loss:
            self.peers.use_reserves()
        for preparer in list(self.preparer_by_pool.values()):
            if self._is_handing_over and not self._prepares_for(preparer.pool, now):
                preparer.hand_over()
            preparer.advance(now)

    def _prepares_for(self, pool, now):
        return self.preparing_gateway(pool, now)[1] is None

    def _backlog(self, pool, now):
        _, link = self.preparing_gateway(pool, now)
        if link is None:
            return self.preparer(pool.name).backlog(now)
        reported = link.backlog_by_pool.get(pool.name, 0.0)
        return reported + self._unreported(pool, now)

    def _unreported(self, pool, now):
        seconds, since = self._unreported_by_pool.get(pool.name, (0.0, now))
        return max(0.0, seconds - (now - since))

    def _add_unreported(self, pool, now):
        seconds = self._unreported(pool, now) + REQUEST_BACKLOG_SECONDS
        self._unreported_by_pool[pool.name] = (seconds, now)
