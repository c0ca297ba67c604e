"""The daemon's tests do no real I/O, so that they run in virtual time."""

from wharf_standins.virtual_time import VirtualTimeLoop


def pytest_asyncio_loop_factories(config, item):
    return {"virtual-time": VirtualTimeLoop}
