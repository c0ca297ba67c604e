"""Event loop with virtual time, since the daemon's tests do no real I/O."""

from wharf_standins.virtual_time import VirtualTimeLoop


def pytest_asyncio_loop_factories(config, item):
    return {"virtual-time": VirtualTimeLoop}
