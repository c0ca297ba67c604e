"""Limits on callers that follow from the size of the process's host."""

import math
import resource

from wharf_gateway.http.byte_budget import ByteBudget
from wharf_gateway.http.caller_guard import CallerGuard
from wharf_gateway.http.piece_turns import PieceTurns

__all__ = ["caller_guard", "operators_guard"]

MEGABYTE = 1_000_000
# What a process needs besides: 44 MB at rest, the rest for upstreams' answers.
BASE_MEGABYTES = 64
# Without a setting, the process is assumed to run on the smallest host in use.
DEFAULT_MEMORY_MEGABYTES = 160
# Allocators return memory late, and bytes are copied while they are passed on.
CALLER_MEMORY_SHARE = 0.5
MIN_CALLER_MEGABYTES = 4
# The platform reserves this many of a host's descriptors for files.
FILE_DESCRIPTORS = 200
# Each busy connection of a caller may need one to an upstream; a fifth is left for
# peers, the store, and the ports for probes and metrics.
CALLER_DESCRIPTOR_SHARE = 0.4
MIN_CALLER_CONNECTIONS = 16
# Bytes in the kernel's buffers of a caller's connection count as memory of the host.
SOCKET_BUFFER_BYTES = 64 << 10
# Probes and reads of metrics are few and small; a dump of the state is some megabytes.
OPERATORS_BYTES = 8_000_000
OPERATORS_CONNECTIONS = 64


def caller_guard(settings, record):
    """Return the limits of the port for callers; `record` is told of their use."""
    return CallerGuard(
        ByteBudget(_budget_bytes(settings), settings.stall_seconds),
        _connections(settings),
        settings.max_header_lines or math.inf,
        SOCKET_BUFFER_BYTES,
        record,
        PieceTurns(settings.pieces_per_turn),
    )


def operators_guard(settings):
    """Return the limits of a port that only the operators' programs use."""
    budget = ByteBudget(OPERATORS_BYTES, settings.stall_seconds)
    return CallerGuard(budget, OPERATORS_CONNECTIONS)


def _budget_bytes(settings):
    """Return the bytes that all callers together may hold."""
    megabytes = settings.caller_megabytes
    if megabytes is None:
        memory = settings.memory_megabytes or DEFAULT_MEMORY_MEGABYTES
        free = memory - BASE_MEGABYTES
        megabytes = max(MIN_CALLER_MEGABYTES, free * CALLER_MEMORY_SHARE)
    return int(megabytes * MEGABYTE)


def _connections(settings):
    """Return how many connections callers may have open.

    Without a setting, the process's own limit of open files applies.
    """
    if settings.max_caller_connections is not None:
        return settings.max_caller_connections
    descriptors = settings.max_descriptors
    if descriptors is None:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if descriptors == resource.RLIM_INFINITY:
            return math.inf
    free = descriptors - FILE_DESCRIPTORS
    share = int(free * CALLER_DESCRIPTOR_SHARE)
    return max(MIN_CALLER_CONNECTIONS, share)
