"""Commands that start, stop and show rollouts."""

import asyncio
import time
import uuid
from dataclasses import asdict

import aiohttp
from result import Err, Ok

from wharf_control.change_refused import Invalid
from wharf_control.defaults import DEFAULT_PLATFORM
from wharf_control.exit_code import ExitCode
from wharf_control.outcome import Outcome
from wharf_control.publisher import Publisher
from wharf_control.rollout_start import RolloutStart
from wharf_platform import ObjectClient, find_rollout
from wharf_platform.configuration import CONFIGURATION_KEY, Document

__all__ = ["ROLLOUT_COMMANDS"]

STOPPED_REASON = "stopped by an operator"


def start(
    pool: str,
    *,
    from_: str,
    to: str,
    deadline: float,
    platform: str = DEFAULT_PLATFORM,
    json: bool = False,
):
    """Start to shift a pool's traffic from one version to another.

    The pool must declare the old version (`--from`) and have upstreams of the new
    one (`--to`). A rollout that has not finished after `--deadline` seconds is
    rolled back (shown as "taken back").

    :param pool: the pool's name in the configuration
    :param platform: URL of the platform
    :param json: print JSON
    """
    request = RolloutStart(uuid.uuid4().hex[:12], pool, from_, to, deadline)
    fields = lambda document: request.fields(document, time.time())  # noqa: E731
    outcome = Publisher.run(platform, 0.0, fields)
    if outcome.code is ExitCode.OK:
        line = f"rollout {request.id} started"
        extra = {"rollout": request.id}
        outcome = Outcome(outcome.code, (line,), outcome.fields | extra)
    return outcome.report(json)


def stop(pool: str, *, platform: str = DEFAULT_PLATFORM, json: bool = False):
    """Stop the rollout of a pool and roll it back (shown as "taken back").

    :param pool: the pool's name in the configuration
    :param platform: URL of the platform
    :param json: print JSON
    """
    return Publisher.run(platform, 0.0, lambda document: _stop(document, pool)).report(
        json
    )


def status(
    pool: str | None = None, *, platform: str = DEFAULT_PLATFORM, json: bool = False
):
    """Print the latest rollout of one pool or all, with the measured evidence.

    :param pool: the pool's name in the configuration
    :param platform: URL of the platform
    :param json: print JSON
    """
    return asyncio.run(_status(platform, pool)).report(json)


ROLLOUT_COMMANDS = {"start": start, "stop": stop, "status": status}


def _stop(document, pool):
    found = find_rollout(document, pool)
    match found.and_then(
        lambda rollout: rollout.take_back(STOPPED_REASON, (), rollout.fence)
    ):
        case Ok(changed):
            return {"rollouts": document.rollouts | {pool: changed}}
        case Err(refusal):
            return Invalid("rollout", refusal.detail)


async def _status(platform, pool):
    async with aiohttp.ClientSession() as session:
        match await ObjectClient(session, platform).get(CONFIGURATION_KEY):
            case Err(error):
                return Outcome.unavailable(error)
            case Ok(stored) if not stored.exists:
                rollouts = {}
            case Ok(stored):
                rollouts = Document.from_json(stored.value).rollouts
    if pool is not None and pool not in rollouts:
        expected = f"pool {pool!r} has no rollout"
        fields = {"faults": [{"place": "rollout", "expected": expected}]}
        return Outcome(ExitCode.FAULTY, (f"rollout: {expected}",), fields)
    shown = [
        rollout for name, rollout in sorted(rollouts.items()) if pool in (None, name)
    ]
    lines = [line for rollout in shown for line in _lines(rollout)]
    fields = {"rollouts": {rollout.pool: asdict(rollout) for rollout in shown}}
    return Outcome(ExitCode.OK, tuple(lines) or ("no rollout",), fields)


def _lines(rollout):
    move = f"{rollout.old_version} -> {rollout.new_version}"
    state = f"{rollout.outcome}, step {rollout.step}"
    reason = f" ({rollout.reason})" if rollout.reason else ""
    yield f"{rollout.pool}: {move}, rollout {rollout.id}: {state}{reason}"
    for route in rollout.evidence:
        old = _statistics(route.old_failures, route.old_calls, route.old_median)
        new = _statistics(route.new_failures, route.new_calls, route.new_median)
        yield f"  {route.route}: old {old}; new {new}"


def _statistics(failures, calls, median):
    return f"{failures} of {calls} failed, median {median * 1000:.1f} ms"
