"""Brings pieces to the collector of their pool, and frees results."""

from wharf_gateway.stages.collector import Collector

__all__ = ["PieceRouter"]


class PieceRouter:
    """Own the collectors of this process."""

    def __init__(self, fleet, caller, clock):
        self._fleet = fleet
        self._caller = caller
        self._clock = clock
        self.collector_by_pool = {}
        self._pool_by_handle = {}

    def submit(self, service, data_centre, jobs, now):
        """Queue pieces for the upstreams of a service in a data centre."""
        collector = self.collector(service, data_centre)
        for job in jobs:
            collector.queue.push(job, now)
        collector.advance(now)

    def collector(self, service, data_centre):
        """Return the collector of a pool, made at its first use."""
        pool = (service, data_centre)
        if pool not in self.collector_by_pool:
            self.collector_by_pool[pool] = Collector(
                self._fleet, self._caller, service, data_centre, self._clock
            )
        return self.collector_by_pool[pool]

    def keep(self, handle, service, data_centre):
        """Note which pool a result that is in use came from."""
        self._pool_by_handle[handle] = (service, data_centre)

    def cancel(self, call_id):
        """Forget the pieces of a request that is over."""

    def free(self, handles, now):
        """Drop results, and use the room that they leave."""
        pools = {}
        for handle in handles:
            pool = self._pool_by_handle.pop(handle, None)
            if pool is not None:
                pools.setdefault(pool, []).append(handle)
        for (service, data_centre), freed in pools.items():
            collector = self.collector(service, data_centre)
            collector.free(freed)
            collector.advance(now)
