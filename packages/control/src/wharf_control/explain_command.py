"""The command that explains what became of a request."""

from pathlib import Path

from wharf_control.exit_code import ExitCode
from wharf_control.log_file import LogFile
from wharf_control.outcome import Outcome
from wharf_control.timeline import timeline

__all__ = ["explain"]

SHOWN_FAULTS = 5  # lines that can't be read; the others are counted


def explain(request: str, *logs: Path, around: float = 0.0, json: bool = False):
    """Print what happened to a request, from the saved logs of several processes.

    Each log is one process's standard output, in a file named after the process.
    Time stamps are those of the hosts, whose clocks may differ.

    :param request: id of the request
    :param logs: files with logs
    :param around: seconds of beliefs and of news of its upstreams to show around it
    :param json: print JSON
    """
    return _explain(request, logs, around).report(json)


def _explain(request, paths, around):
    if not paths:
        return Outcome(ExitCode.FAULTY, ("no log is given",), {"detail": "no log"})
    read = []
    for path in paths:
        try:
            read.append(LogFile.read(path))
        except OSError as error:
            return Outcome.unavailable(f"{path}: {error.strerror or error}")
    faults = [fault for log in read for fault in log.faults]
    moments = timeline(read, request, around)
    if not moments:
        lines = sum(len(log.events) for log in read)
        detail = f"no request {request!r} in {lines} lines of {len(read)} logs"
        return Outcome(
            ExitCode.UNKNOWN,
            (detail, *_shown(faults)),
            {"detail": detail, "unreadable": faults},
        )
    began = next(m.event.timestamp for m in moments if m.is_own)
    width = max(len(moment.process) for moment in moments)
    lines = [_line(moment, began, width) for moment in moments]
    fields = {
        "request": request,
        "events": [_fields(moment, began) for moment in moments],
        "unreadable": faults,
    }
    return Outcome(ExitCode.OK, (*lines, *_shown(faults)), fields)


def _shown(faults):
    shown = [f"unreadable: {fault}" for fault in faults[:SHOWN_FAULTS]]
    left = len(faults) - len(shown)
    return [*shown, f"unreadable: {left} more lines"] if left else shown


def _line(moment, began, width):
    event = moment.event
    seconds = (event.timestamp - began).total_seconds()
    details = " ".join(f"{key}={value}" for key, value in event.details.items())
    mark = " " if moment.is_own else "~"
    return f"{seconds:+8.3f} {moment.process:{width}} {mark}{event.event} {details}"


def _fields(moment, began):
    event = moment.event
    return {
        "seconds": round((event.timestamp - began).total_seconds(), 6),
        "process": moment.process,
        "event": event.event,
        "names_request": moment.is_own,
        **event.details,
    }
