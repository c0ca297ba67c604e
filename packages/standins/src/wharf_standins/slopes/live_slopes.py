"""Slopes of an entry that runs with other processes."""

import asyncio
import json

from wharf_standins.slopes.peers import peer_process
from wharf_standins.slopes.relay import relay_cpu
from wharf_standins.slopes.slope import Slope

__all__ = ["live_slopes"]

LINK_COUNTS = (16, 32, 64, 128)
IDLE_SECONDS = 5.0
STREAMS = 48
TOKEN_COUNTS = (32, 64, 96, 128)
GATHER_BY_NAME = {"each token in a frame": 0.0, "gathered for 25 ms": 0.025}


def live_slopes() -> list[Slope]:
    """Return the slopes of idle links and of relayed tokens."""
    return [*_link_slopes(), *_relay_slopes()]


def _link_slopes():
    idle_by_count = {count: _measure_idle(count) for count in LINK_COUNTS}
    return [
        Slope.fit(
            f"entry at rest: {key}",
            "link",
            unit,
            [(count, idle[key]) for count, idle in idle_by_count.items()],
        )
        for key, unit in (("core_percent", "% of a core"), ("megabytes", "MB"))
    ]


def _measure_idle(count):
    with peer_process("serve-upstreams", count, 1, 0.01) as upstreams:
        platform = upstreams.stdout.readline().strip()
        with peer_process("idle-entry", platform, count, IDLE_SECONDS) as entry:
            return json.loads(entry.stdout.readline())


def _relay_slopes():
    return [
        Slope.fit(
            f"relay of a request, {name}",
            "token",
            "us",
            [(tokens, _relay(tokens, seconds)) for tokens in TOKEN_COUNTS],
        )
        for name, seconds in GATHER_BY_NAME.items()
    ]


def _relay(tokens, gather_seconds):
    run = relay_cpu(STREAMS, tokens, gather_seconds=gather_seconds)
    return asyncio.run(run) / STREAMS * 1e6
