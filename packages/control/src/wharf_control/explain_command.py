"""Command that shows the log events of one request across processes."""

from pathlib import Path

from wharf_control.exit_code import ExitCode
from wharf_control.log_file import LogFile
from wharf_control.outcome import Outcome
from wharf_control.timeline import timeline

__all__ = ["explain"]

MAX_SHOWN_FAULTS = 5  # further unreadable lines are only counted


def explain(request: str, *logs: Path, around: float = 0.0, json: bool = False):
    """Print the history of a request from the saved logs of several processes.

    Each log is the standard output of one process, in a file named after the
    process. Timestamps come from the hosts, whose clocks may differ.

    :param request: id of the request
    :param logs: files with logs
    :param around: seconds before and after it for which to show context events
    :param json: print JSON
    """
    return _explain(request, logs, around).report(json)


def _explain(request, paths, around):
    if not paths:
        return Outcome(ExitCode.FAULTY, ("no log file given",), {"detail": "no log"})
    log_files = []
    for path in paths:
        try:
            log_files.append(LogFile.read(path))
        except OSError as error:
            return Outcome.unavailable(f"{path}: {error.strerror or error}")
    faults = [fault for log in log_files for fault in log.faults]
    items = timeline(log_files, request, around)
    if not items:
        lines = sum(len(log.events) for log in log_files)
        detail = f"no request {request!r} in {lines} lines of {len(log_files)} logs"
        return Outcome(
            ExitCode.UNKNOWN,
            (detail, *_fault_lines(faults)),
            {"detail": detail, "unreadable": faults},
        )
    start = next(m.event.timestamp for m in items if m.names_request)
    width = max(len(item.process) for item in items)
    lines = [_format(item, start, width) for item in items]
    fields = {
        "request": request,
        "events": [_fields(item, start) for item in items],
        "unreadable": faults,
    }
    return Outcome(ExitCode.OK, (*lines, *_fault_lines(faults)), fields)


def _fault_lines(faults):
    shown = [f"unreadable: {fault}" for fault in faults[:MAX_SHOWN_FAULTS]]
    remaining = len(faults) - len(shown)
    return [*shown, f"unreadable: {remaining} more lines"] if remaining else shown


def _format(item, start, width):
    event = item.event
    seconds = (event.timestamp - start).total_seconds()
    details = " ".join(f"{key}={value}" for key, value in event.details.items())
    mark = " " if item.names_request else "~"
    return f"{seconds:+8.3f} {item.process:{width}} {mark}{event.event} {details}"


def _fields(item, start):
    event = item.event
    return {
        "seconds": round((event.timestamp - start).total_seconds(), 6),
        "process": item.process,
        "event": event.event,
        "names_request": item.names_request,
        **event.details,
    }
