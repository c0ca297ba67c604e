"""Commands that show the state of the system's processes."""

import asyncio
import json as json_library
from dataclasses import asdict

import aiohttp
from result import Err, Ok

from wharf_control.defaults import DEFAULT_PLATFORM
from wharf_control.exit_code import ExitCode
from wharf_control.fleet_state import FleetState
from wharf_control.outcome import Outcome
from wharf_control.process_client import ProcessClient
from wharf_platform import ObjectClient
from wharf_platform.configuration import CONFIGURATION_KEY, Document

__all__ = ["dump", "status"]


def status(*, platform: str = DEFAULT_PLATFORM, json: bool = False):
    """Print which processes run the stored revision, and their load.

    :param platform: URL of the platform
    :param json: print JSON
    """
    return asyncio.run(_status(platform)).report(json)


def dump(address: str, *, json: bool = False):
    """Print the state of one process.

    :param address: HOST:PORT of its operators' endpoints
    :param json: print JSON with the outcome around the state
    """
    return asyncio.run(_dump(address)).report(json)


async def _status(platform):
    async with aiohttp.ClientSession() as session:
        read = await ObjectClient(session, platform).get(CONFIGURATION_KEY)
        if read.is_err():
            return Outcome.unavailable(read.err())
        if not read.ok().exists:
            return Outcome(ExitCode.OK, ("no configuration has been applied yet",))
        document = Document.from_json(read.ok().value)
        fleet = await FleetState.query(ProcessClient(session), document.folder)
    return _status_outcome(document, fleet)


def _status_outcome(document, fleet):
    behind = fleet.behind(document.revision)
    out = sorted(document.out_data_centres)
    lines = (
        f"revision {document.revision}, in force at "
        f"{len(fleet.processes) - len(behind)} of {len(fleet.processes)} processes",
        f"data centres taken out: {', '.join(out) or 'none'}",
        *(f"  {state}" for state in fleet.processes),
    )
    fields = {
        "revision": document.revision,
        "out_data_centres": out,
        "processes": [asdict(state) for state in fleet.processes],
        "behind": [state.name for state in behind],
    }
    code = ExitCode.NOT_IN_FORCE if behind else ExitCode.OK
    return Outcome(code, lines, fields)


async def _dump(address):
    async with aiohttp.ClientSession() as session:
        match await ProcessClient(session).dump(address):
            case Ok(state):
                lines = (json_library.dumps(state, indent=2),)
                return Outcome(ExitCode.OK, lines, {"state": state})
            case Err(detail):
                return Outcome.unavailable(detail)
