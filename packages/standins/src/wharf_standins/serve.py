"""Commands that run a stand-in as a separate process."""

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

    :param name: the upstream's key in the configuration
    :param data_centre: the upstream's data centre
    :param listen: HOST:PORT
    :param service_time: seconds for each call
    :param cold_bearable: concurrent calls that it can serve while cold; 0: always warm
    :param checks_fencing: refuse orders with an outdated fencing number
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
    server = HttpServer(application(), listen)
    await server.start()
    print(f"listening on port {server.port}", flush=True)
    await stop.wait()
    await server.stop()
