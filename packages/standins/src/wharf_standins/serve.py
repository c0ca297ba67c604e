"""Stand-ins as separate processes."""

import asyncio
import signal

from wharf_daemon.http_server import HttpServer
from wharf_standins.engine import Engine
from wharf_standins.platform import Platform

__all__ = ["engine", "platform"]


def platform(*, listen: str = "127.0.0.1:7700"):
    """Run the stand-in of the platform.

    :param listen: HOST:PORT
    """
    asyncio.run(_serve(lambda: Platform().application(), listen))


def engine(
    name: str,
    data_centre: str,
    *,
    listen: str = "127.0.0.1:0",
    service_time: float = 0.01,
    cold_bearable: int = 0,
    checks_fencing: bool = False,
):
    """Run the stand-in of one upstream.

    :param name: its key in the configuration
    :param data_centre: where it stands
    :param listen: HOST:PORT
    :param service_time: seconds for each call
    :param cold_bearable: calls at a time that it bears while cold; 0: it is warm
    :param checks_fencing: refuse orders with an old fencing number
    """
    upstream = Engine(
        name,
        data_centre,
        service_time=service_time,
        cold_bearable=cold_bearable,
        checks_fencing=checks_fencing,
    )
    asyncio.run(_serve(upstream.application, listen))


async def _serve(application, listen):
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    site = HttpServer(application(), listen)
    await site.start()
    print(f"listening on port {site.port}", flush=True)
    await stop.wait()
    await site.stop()
