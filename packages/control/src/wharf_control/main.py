"""The command line of wharfctl."""

import asyncio
import json
import sys
import uuid
from pathlib import Path
from random import Random

import aiohttp
import defopt
from result import Err, Ok

from wharf_control.document_change import DocumentChange
from wharf_control.exit_code import ExitCode
from wharf_platform import ConditionalUpdate, Conflict, ObjectClient, UnknownOutcome
from wharf_platform.configuration import CONFIGURATION_KEY, Document, read_folder

__all__ = ["main"]

DEFAULT_PLATFORM = "http://127.0.0.1:7700"


def check(directory: Path):
    """Validate the folder without applying it.

    :param directory: folder of JSON files with comments
    """
    match read_folder(directory):
        case Err(faults):
            return _report_faults(faults)
        case Ok(_):
            print("no fault found")
            return ExitCode.OK


def apply(directory: Path, *, platform: str = DEFAULT_PLATFORM):
    """Validate the folder and publish it.

    :param directory: folder of JSON files with comments
    :param platform: URL of the platform
    """
    match read_folder(directory):
        case Err(faults):
            return _report_faults(faults)
        case Ok(folder):
            return _change(platform, lambda document: {"folder": folder})


def take_out(data_centre: str, *, platform: str = DEFAULT_PLATFORM):
    """Stop new work in a data centre.

    :param data_centre: its name in the configuration
    :param platform: URL of the platform
    """
    return _change(
        platform,
        lambda document: {
            "out_data_centres": document.out_data_centres | {data_centre}
        },
    )


def bring_back(data_centre: str, *, platform: str = DEFAULT_PLATFORM):
    """Allow new work in a data centre again.

    :param data_centre: its name in the configuration
    :param platform: URL of the platform
    """
    return _change(
        platform,
        lambda document: {
            "out_data_centres": document.out_data_centres - {data_centre}
        },
    )


def show(*, platform: str = DEFAULT_PLATFORM):
    """Print the configuration in the store.

    :param platform: URL of the platform
    """
    return asyncio.run(_show(platform))


def dump(address: str):
    """Print the state of one process.

    :param address: HOST:PORT of its operators' endpoints
    """
    return asyncio.run(_dump(address))


def main():
    """Run the command line."""
    commands = [check, apply, take_out, bring_back, show, dump]
    sys.exit(defopt.run(commands, no_negated_flags=True))


def _change(platform, fields):
    return asyncio.run(_publish(platform, fields))


async def _publish(platform, fields):
    async with aiohttp.ClientSession() as session:
        update = ConditionalUpdate(ObjectClient(session, platform), Random())
        change = DocumentChange(uuid.uuid4().hex, fields)
        match await update.run(CONFIGURATION_KEY, change):
            case Ok(stored):
                revision = Document.from_json(stored.value).revision
                print(f"accepted: revision {revision}")
                return ExitCode.OK
            case Err(Conflict(version=version)):
                print(f"refused: another writer holds version {version}")
                return ExitCode.REFUSED
            case Err(UnknownOutcome(detail=detail)):
                print(f"unknown: {detail}")
                return ExitCode.UNKNOWN
            case Err(error):
                print(f"unavailable: {error}")
                return ExitCode.UNAVAILABLE


async def _show(platform):
    async with aiohttp.ClientSession() as session:
        match await ObjectClient(session, platform).get(CONFIGURATION_KEY):
            case Ok(stored):
                print(stored.value.decode() or "no configuration")
                return ExitCode.OK
            case Err(error):
                print(f"unavailable: {error}")
                return ExitCode.UNAVAILABLE


async def _dump(address):
    url = f"http://{address}/dump"
    try:
        async with aiohttp.ClientSession() as session, session.get(url) as response:
            print(json.dumps(await response.json(), indent=2))
            return ExitCode.OK
    except aiohttp.ClientError as error:
        print(f"unavailable: {error}")
        return ExitCode.UNAVAILABLE


def _report_faults(faults):
    for fault in faults:
        print(fault, file=sys.stderr)
    return ExitCode.FAULTY
