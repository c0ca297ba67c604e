"""Commands that validate, publish and show the operators' configuration."""

import asyncio
from pathlib import Path

import aiohttp
from result import Err, Ok

from wharf_control.defaults import DEFAULT_PLATFORM
from wharf_control.exit_code import ExitCode
from wharf_control.outcome import Outcome
from wharf_control.publisher import Publisher
from wharf_platform import ObjectClient
from wharf_platform.configuration import CONFIGURATION_KEY, Document, read_folder

__all__ = ["apply", "check", "show"]


def check(directory: Path, *, json: bool = False):
    """Validate the configuration folder without applying it.

    :param directory: folder of JSON files with comments
    :param json: print JSON
    """
    match read_folder(directory):
        case Err(faults):
            outcome = Outcome.faulty(faults)
        case Ok(_):
            outcome = Outcome(ExitCode.OK, ("configuration is valid",))
    return outcome.report(json)


def apply(
    directory: Path,
    *,
    platform: str = DEFAULT_PLATFORM,
    expect: int | None = None,
    wait: float = 0.0,
    json: bool = False,
):
    """Validate the configuration folder and publish it.

    The change is refused if another writer publishes in the meantime.

    :param directory: folder of JSON files with comments
    :param platform: URL of the platform
    :param expect: publish only over this revision
    :param wait: seconds to wait until it is in force everywhere
    :param json: print JSON
    """
    match read_folder(directory):
        case Err(faults):
            outcome = Outcome.faulty(faults)
        case Ok(folder):
            outcome = Publisher.run(
                platform,
                wait,
                lambda document: {"folder": folder},
                is_exclusive=True,
                base=expect,
            )
    return outcome.report(json)


def show(*, platform: str = DEFAULT_PLATFORM, json: bool = False):
    """Print the stored configuration.

    :param platform: URL of the platform
    :param json: print JSON
    """
    return asyncio.run(_show(platform)).report(json)


async def _show(platform):
    async with aiohttp.ClientSession() as session:
        match await ObjectClient(session, platform).get(CONFIGURATION_KEY):
            case Err(error):
                return Outcome.unavailable(error)
            case Ok(stored) if not stored.exists:
                line = "no configuration has been applied yet"
                return Outcome(ExitCode.OK, (line,), {"document": None})
            case Ok(stored):
                document = Document.from_json(stored.value)
                lines = (document.model_dump_json(indent=2),)
                fields = {"document": document.model_dump(mode="json")}
                return Outcome(ExitCode.OK, lines, fields)
