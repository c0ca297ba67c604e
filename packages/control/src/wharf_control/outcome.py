"""Result of a command and its output."""

import json
import sys
from dataclasses import dataclass, field

from wharf_control.exit_code import ExitCode

__all__ = ["Outcome"]


@dataclass(frozen=True, slots=True)
class Outcome:
    """Exit code of a command, with text output (`lines`) and JSON (`fields`)."""

    code: ExitCode
    lines: tuple[str, ...]
    fields: dict = field(default_factory=dict)

    @classmethod
    def faulty(cls, faults):
        """Return the outcome for a folder or an argument with faults."""
        items = [
            {"file": fault.file, "place": fault.place, "expected": fault.expected}
            for fault in faults
        ]
        lines = tuple(str(fault) for fault in faults)
        return cls(ExitCode.FAULTY, lines, {"faults": items})

    @classmethod
    def unavailable(cls, detail):
        """Return the outcome for a platform, process or file that can't be read."""
        return cls(
            ExitCode.UNAVAILABLE, (f"unavailable: {detail}",), {"detail": str(detail)}
        )

    def report(self, as_json):
        """Print the outcome as text or JSON, and return the exit code."""
        if as_json:
            fields = {"outcome": self.code.label, "exit_code": int(self.code)}
            print(json.dumps(fields | self.fields, indent=2))
            return int(self.code)
        stream = sys.stdout if self.code is ExitCode.OK else sys.stderr
        for line in self.lines:
            print(line, file=stream)
        return int(self.code)
