"""Reader of the operators' folder: merges its files in order of file names."""

from dataclasses import dataclass, field
from pathlib import Path

from result import Err, Result

from wharf_platform.configuration.fault import Fault
from wharf_platform.configuration.folder import Folder
from wharf_platform.configuration.location import Location
from wharf_platform.configuration.source_file import SourceFile
from wharf_platform.configuration.validation import validate

__all__ = ["FILE_PATTERN", "read_folder"]

FILE_PATTERN = "*.json"


def read_folder(directory) -> Result[Folder, list[Fault]]:
    """Return the merged and validated folder, or all faults found."""
    directory = Path(directory)
    paths = sorted(directory.glob(FILE_PATTERN))
    if not paths:
        expected = f"expected at least one {FILE_PATTERN} file"
        return Err([Fault(str(directory), "folder", expected)])
    results = [SourceFile.read(path) for path in paths]
    faults = [fault for result in results for fault in result.err() or []]
    if faults:
        return Err(faults)
    merged = _MergedFiles()
    for result in results:
        merged.add(result.unwrap())
    return validate(Folder, merged.value, merged.locate)


@dataclass
class _MergedFiles:
    """Sections merged from several files.

    An item of a section replaces the whole item of that name from earlier files.
    """

    value: dict = field(default_factory=dict)
    source_by_path: dict[tuple, SourceFile] = field(default_factory=dict)

    def add(self, source):
        for section, content in source.value.items():
            self.source_by_path[(section,)] = source
            if not isinstance(content, dict):
                self.value[section] = content
                continue
            if not isinstance(self.value.get(section), dict):
                self.value[section] = {}
            for name, item in content.items():
                self.value[section][name] = item
                self.source_by_path[(section, name)] = source

    def locate(self, keys):
        source = self.source_by_path.get(tuple(keys[:2]))
        source = source or self.source_by_path.get(tuple(keys[:1]))
        return source.locate(keys) if source else Location("folder", 1)
