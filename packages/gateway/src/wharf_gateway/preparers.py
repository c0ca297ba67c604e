"""Brings each request's steps to the gateway that prepares for a pool."""

import structlog
from result import Err, Ok

from wharf_coordination.rendezvous import ranked
from wharf_gateway.peers.messages import Free
from wharf_gateway.stages.pool import Pool, pools_of
from wharf_gateway.stages.preparer import Preparer
from wharf_gateway.stages.unprepared import Unprepared

__all__ = ["Preparers"]

log = structlog.get_logger(__name__)

MAX_ASKED = 3  # gateways that one request's steps are tried at
# A request is prepared elsewhere only if its steps begin this much sooner there,
# in seconds: its results then cross between data centres.
AWAY_SECONDS = 0.15
# What one request adds to a backlog until the next load notice shows it.
PENDING_SECONDS = 0.04
POOLS_SECONDS = 0.1  # how long pools are believed; upstreams change by the second
LINK_REASONS = ("link lost", "peer silent")


class Preparers:
    """Know who prepares for which pool, this gateway included."""

    def __init__(self, settings, fleet, caller, clock):
        self._settings = settings
        self._fleet = fleet
        self._caller = caller
        self._clock = clock
        self.preparer_by_pool = {}
        self._pending_by_pool = {}
        self._known_pools = []
        self._pools_until = float("-inf")
        self.peers = None
        self.is_ready = lambda: True

    def preparer(self, name):
        """Return this gateway's preparer for a pool, made at its first use."""
        if name not in self.preparer_by_pool:
            self.preparer_by_pool[name] = Preparer(
                self._fleet, self._caller, Pool.named(name), self._clock
            )
        return self.preparer_by_pool[name]

    def owner(self, pool, now):
        """Return the link to who prepares for a pool, none for this gateway.

        Among the candidates, those of the pool's data centre go first; all gateways
        choose alike without agreement. Without candidates each prepares itself.
        """
        own = self._settings
        links = self.peers.available(now)
        centre_by_name = {
            name: link.data_centre
            for name, link in links.items()
            if name in self.peers.candidates
        }
        if self.is_ready() and own.name in self.peers.candidates:
            centre_by_name[own.name] = own.data_centre
        if not centre_by_name:
            return None
        near = [name for name, dc in centre_by_name.items() if pool.holds(dc)]
        return links.get(ranked(pool.name, near or centre_by_name)[0])

    def choose_pool(self, near, now):
        """Return where a request's steps should run, by the backlogs."""
        pools = self._pools(now)
        if len(pools) == 1:
            return pools[0]
        return min(
            pools,
            key=lambda pool: (
                self._backlog(pool, now) + (0.0 if pool.holds(near) else AWAY_SECONDS),
                pool.name,
            ),
        )

    def _pools(self, now):
        """Return the pools, the same for all routes.

        Two pools that share upstreams would be in each other's way.
        """
        if now >= self._pools_until:
            self._pools_until = now + POOLS_SECONDS
            self._known_pools = pools_of(
                [
                    (service, state.upstream.data_centre)
                    for service in self._fleet.step_services
                    for state in self._fleet.states(service)
                ]
            )
        return self._known_pools

    async def run(self, preparation, context):
        """Return the handles of a request's results, or why there are none."""
        answer = Err(Unprepared("nobody prepares"))
        for _ in range(MAX_ASKED):
            now = self._clock()
            pool = self.choose_pool(preparation.near, now)
            context.pool = pool.name
            link = self.owner(pool, now)
            self._add_pending(pool, now)
            if link is None:
                answer = await self.preparer(pool.name).run(preparation)
            else:
                answer = await link.prepare(preparation, pool.name)
            match answer:
                case Err(Unprepared(reason, _)) if reason in LINK_REASONS:
                    log.info(
                        "prepare_again", request=preparation.call_id, reason=reason
                    )
                case Ok(handles):
                    context.owner = link
                    return Ok(handles)
                case _:
                    return answer
        return answer

    def dump(self, now):
        """Return the work of this gateway's preparers, for operators."""
        return {
            name: preparer.dump(now) for name, preparer in self.preparer_by_pool.items()
        }

    def free(self, context, handles):
        """Drop results that are not needed any more."""
        if context.owner is None:
            self.preparer(context.pool).free(handles)
        elif not context.owner.is_closed:
            context.owner.post(Free(context.pool, tuple(handles)))
        else:
            self._caller.free_unowned(handles)

    @property
    def busy(self):
        """Return the number of preparations that run or wait here."""
        return sum(preparer.busy for preparer in self.preparer_by_pool.values())

    def load(self):
        """Return whether this gateway takes work, and its backlogs."""
        now = self._clock()
        backlogs = {
            name: round(min(preparer.backlog(now), 60.0), 4)
            for name, preparer in self.preparer_by_pool.items()
            if self.owner(preparer.pool, now) is None
        }
        return self.is_ready(), backlogs

    def advance(self, now):
        """Look after what has expired."""
        for preparer in list(self.preparer_by_pool.values()):
            preparer.advance(now)

    def _backlog(self, pool, now):
        link = self.owner(pool, now)
        if link is None:
            return self.preparer(pool.name).backlog(now)
        told = link.backlog_by_pool.get(pool.name, 0.0)
        return told + self._pending(pool, now)

    def _pending(self, pool, now):
        pending, since = self._pending_by_pool.get(pool.name, (0.0, now))
        return max(0.0, pending - (now - since))

    def _add_pending(self, pool, now):
        pending = self._pending(pool, now) + PENDING_SECONDS
        self._pending_by_pool[pool.name] = (pending, now)
