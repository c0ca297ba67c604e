"""Processor profile of an entry that relays streams."""

import asyncio
import cProfile
import pstats

from wharf_standins.slopes.relay import relay_cpu

__all__ = ["profile_relay"]

SHOWN_FUNCTIONS = 45


def profile_relay(*, requests: int = 48, tokens: int = 128):
    """Print where an entry spends its time while it relays streams.

    :param requests: number of concurrent streams
    :param tokens: tokens of each stream
    """
    profiler = cProfile.Profile()
    run = relay_cpu(requests, tokens, profiler.enable, profiler.disable)
    seconds = asyncio.run(run)
    pstats.Stats(profiler).sort_stats("tottime").print_stats(SHOWN_FUNCTIONS)
    print(f"{seconds:.3f} s for {requests} requests of {tokens} tokens")
