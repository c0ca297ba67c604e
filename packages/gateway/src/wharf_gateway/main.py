"""Command line of the gateway."""

import argparse
import asyncio
import os
import sys
from pathlib import Path

import pyjson5
import structlog
from pydantic import ValidationError
from result import Err, Ok

from wharf_gateway.boot_time_loop import BootTimeLoop
from wharf_gateway.gateway import Gateway
from wharf_gateway.settings import GatewaySettings
from wharf_gateway.telemetry.log_setup import set_up_logs

__all__ = ["main", "read_settings"]

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
EXIT_NOT_STARTED = 3
# Settings of the deployment as JSON, for fields that the settings file doesn't have.
DEPLOYMENT_VARIABLE = "WHARF_DEPLOYMENT"
# This command line uses argparse, as importing defopt takes 0.18 s: a tenth of the time
# in which a killed process has to serve again.


def main(signals):
    """Run a gateway until `signals`, the signals of its process, tell it to stop."""
    parser = argparse.ArgumentParser(prog="wharf-gateway", description=__doc__)
    parser.add_argument(
        "--settings", help="JSON file with comments, default $VANILLAWHARF_NODE_FILE"
    )
    parser.add_argument(
        "--check", action="store_true", help="validate the settings and exit"
    )
    options = parser.parse_args()
    path = Path(options.settings or os.environ.get("VANILLAWHARF_NODE_FILE", ""))
    match read_settings(path):
        case Err(fault):
            print(f"{path}: {fault}", file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)
        case Ok(settings):
            sys.exit(EXIT_OK if options.check else _start(settings, signals))


def read_settings(path):
    """Return the settings in a file and of the deployment, or an error text."""
    try:
        deployment = pyjson5.loads(os.environ.get(DEPLOYMENT_VARIABLE) or "{}")
        document = pyjson5.loads(path.read_text())
        if not (isinstance(deployment, dict) and isinstance(document, dict)):
            return Err("the settings aren't an object")
        return Ok(GatewaySettings.model_validate(deployment | document))
    except ValidationError as error:
        fault = error.errors(include_url=False)[0]
        place = ".".join(str(part) for part in fault["loc"])
        return Err(f"{place}: {fault['msg']}, got {fault['input']!r}")
    except (OSError, ValueError, pyjson5.Json5Exception) as error:
        return Err(str(error))


def _start(settings, signals):
    writer = set_up_logs(sys.stdout.fileno())
    try:
        with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
            runner.run(_serve(settings, writer, signals))
    except OSError as error:
        print(f"{settings.name}: {error}", file=sys.stderr)
        return EXIT_NOT_STARTED
    finally:
        signals.disconnect()
        writer.flush()
    return EXIT_OK


async def _serve(settings, writer, signals):
    log = structlog.get_logger()
    gateway = Gateway(settings)
    gateway.meter.gauge("wharf_dropped_lines", lambda: {(): writer.queue.total_dropped})
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    signals.connect(loop, stop.set, lambda: log.info("reload"))
    await gateway.start()
    log.info(
        "started",
        name=settings.name,
        data_centre=settings.data_centre,
        listen=settings.listen,
        metrics=settings.metrics_listen,
    )
    await stop.wait()
    await gateway.stop()
    signals.disconnect()
