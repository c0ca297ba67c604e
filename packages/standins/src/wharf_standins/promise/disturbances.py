"""What happens to a site in a play, drawn from random numbers."""

import asyncio
from itertools import count

from wharf_standins.promise.play_configuration import change, first_configuration

__all__ = ["Disturbances"]

CONFIGURATION = "main"


class Disturbances:
    """Change the configuration, stop gateways and disturb what they depend on.

    `play` has `rng`, `network`, `store`, `gateways`, `upstreams` and `step_upstreams`.
    `journal` has the time and the kind of each event, `timeouts` the shortest time-out
    of each route so far.
    """

    def __init__(self, play):
        self._play = play
        self._rng = play.rng
        self._copy = None
        self._document = first_configuration()
        self.journal = []
        self.timeouts = {}
        self._sequence = count(1)
        self._tasks = set()

    def begin(self):
        """Write the first configuration and the entries of all upstreams."""
        store = self._play.store
        self._write()
        for upstream in (*self._play.upstreams, *self._play.step_upstreams):
            self._register(upstream)
        self._copy = store.copy()

    async def run(self, seconds, kinds):
        """Let events of some kinds happen at random times for `seconds`."""
        if not kinds:
            return
        ends_at = self._play.network.now + seconds
        mean = self._rng.choice((0.1, 0.5, 1.5))
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / mean))
            if self._play.network.now >= ends_at:
                return
            kind = self._rng.choice(kinds)
            detail = getattr(self, f"_{kind}")()
            self.journal.append((round(self._play.network.now, 4), kind, detail))

    def _configuration(self):
        self._document, kind = change(self._document, self._rng)
        self._write()
        return kind

    def _write(self):
        for route in self._document["routes"]:
            seconds = route["timeoutMs"] / 1000
            known = self.timeouts.get(route["name"], seconds)
            self.timeouts[route["name"]] = min(known, seconds)
        self._play.store.write("config", CONFIGURATION, self._document)

    def _register(self, upstream, state="ready"):
        entry = {
            "service": upstream.service,
            "address": upstream.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldLeftMs": 0.0,
            "seqNo": next(self._sequence),
            "born": 1,
        }
        self._play.store.write("servers", upstream.name, entry)

    def _stop(self):
        gateway = self._rng.choice(self._play.gateways)
        if any(g.is_stopping for g in self._play.gateways):
            return None
        gateway.stop()
        self._spawn(self._start_again(gateway))
        return gateway.name

    async def _start_again(self, gateway):
        while not gateway.host.is_ended:
            await asyncio.sleep(0.1)
        gateway.start()

    def _pause(self):
        gateway = self._rng.choice(self._play.gateways)
        seconds = self._rng.choice((0.2, 1.1, 2.5))
        if not gateway.is_stopping:
            gateway.host.pause(seconds)
        return gateway.name, seconds

    def _drain(self):
        upstream = self._rng.choice(self._play.upstreams)
        state = self._rng.choice(("draining", "ready"))
        self._register(upstream, state)
        return upstream.name, state

    def _vanish(self):
        upstream = self._rng.choice(self._play.upstreams)
        self._play.store.write("servers", upstream.name, None)
        self._spawn(self._return(upstream))
        return upstream.name

    async def _return(self, upstream):
        await asyncio.sleep(self._rng.choice((0.1, 2.0)))
        self._register(upstream)

    def _crash(self):
        upstream = self._rng.choice(self._play.upstreams)
        if upstream.is_running:
            upstream.crash()
            self._spawn(self._start_upstream(upstream))
        return upstream.name

    async def _start_upstream(self, upstream):
        await asyncio.sleep(self._rng.choice((0.1, 1.0)))
        await upstream.start()

    def _evacuate(self):
        store = self._play.store
        is_out = bool(store.contents("evacuations"))
        store.write("evacuations", "b", None if is_out else {})
        return not is_out

    def _hold(self):
        one, other = self._play.gateways[:2]
        seconds = self._rng.choice((0.3, 1.0, 3.0))
        self._play.network.hold(one.name, other.name, seconds)
        return seconds

    def _store_away(self):
        store = self._play.store
        if not store.is_away:
            self._copy = store.copy() if self._rng.random() < 0.5 else self._copy
            store.go_away()
            self._spawn(self._restore())

    async def _restore(self):
        await asyncio.sleep(self._rng.choice((0.2, 2.0, 4.0)))
        self._play.store.restore(self._copy)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
