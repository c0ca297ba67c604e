"""A parsed JSON file with comments."""

import re
from dataclasses import dataclass
from pathlib import Path

import pyjson5
from result import Err, Ok, Result

from wharf_platform.configuration.fault import Fault
from wharf_platform.configuration.key_lines import KeyLines
from wharf_platform.configuration.location import Location

__all__ = ["SourceFile"]


@dataclass(frozen=True, slots=True)
class SourceFile:
    """The JSON object in a file, and the lines of its keys."""

    name: str
    value: dict
    lines: KeyLines

    @classmethod
    def read(cls, path) -> Result["SourceFile", list[Fault]]:
        """Return the file at `path`, or its faults."""
        path = Path(path)
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return Err([Fault(path.name, "file", str(error))])
        return cls.parse(path.name, text)

    @classmethod
    def parse(cls, name, text) -> Result["SourceFile", list[Fault]]:
        """Return the object in `text`, or its faults.

        >>> SourceFile.parse("a.json", "{\\n1}").unwrap_err()[0].place
        'line 2'
        """
        try:
            value = pyjson5.loads(text)
        except pyjson5.Json5DecoderException as error:
            return Err([_syntax_fault(name, text, error)])
        if not isinstance(value, dict):
            return Err([Fault(name, "line 1", "expected a JSON object")])
        source = cls(name, value, KeyLines.of(text))
        faults = [source._duplicate_fault(path) for path in source.lines.duplicates]
        return Err(faults) if faults else Ok(source)

    def locate(self, keys):
        """Return the location of the value at the path `keys`."""
        return Location(self.name, self.lines.line_of(keys))

    def _duplicate_fault(self, path):
        return Fault.at(self.locate(path), path, "duplicate key in its object")


def _syntax_fault(file, text, error):
    message = str(error.args[0])
    offset = re.search(r"near (\d+)", message)
    line = text.count("\n", 0, int(offset[1])) + 1 if offset else 1
    expected = re.sub(r"b'([^']*)'| near \d+", r"\1", message)
    return Fault(file, f"line {line}", expected)
