"""Saved log of one process."""

from dataclasses import dataclass
from pathlib import Path

from pydantic import ValidationError

from wharf_control.log_event import LogEvent

__all__ = ["LogFile"]


@dataclass(frozen=True, slots=True)
class LogFile:
    """Events of one process, and an error message for each unreadable line."""

    process: str
    events: tuple[LogEvent, ...]
    faults: tuple[str, ...]

    @classmethod
    def read(cls, path: Path):
        """Read the log at `path`, whose stem names the process; raise OSError."""
        events, faults = [], []
        text = path.read_text(encoding="utf-8", errors="replace")
        for number, line in enumerate(text.splitlines(), 1):
            if not line.strip():
                continue
            try:
                events.append(LogEvent.model_validate_json(line))
            except ValidationError as error:
                first = error.errors()[0]
                place = ".".join(map(str, first["loc"]))
                reason = f"{place}: {first['msg']}" if place else first["msg"]
                faults.append(f"{path}:{number}: {reason}: {line[:60]!r}")
        return cls(path.stem, tuple(events), tuple(faults))
