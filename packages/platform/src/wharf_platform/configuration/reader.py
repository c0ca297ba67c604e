"""Merging of the operators' folder in the order of the file names."""

from pathlib import Path

from result import Err, Result

from wharf_platform.configuration.fault import Fault
from wharf_platform.configuration.folder import Folder
from wharf_platform.configuration.jsonc import read_object, validate

__all__ = ["FILE_PATTERN", "read_folder"]

FILE_PATTERN = "*.json"


def read_folder(directory) -> Result[Folder, list[Fault]]:
    """Return the merged and validated folder, or all faults found."""
    directory = Path(directory)
    paths = sorted(directory.glob(FILE_PATTERN))
    if not paths:
        expected = f"expected at least one {FILE_PATTERN} file"
        return Err([Fault(str(directory), "folder", expected)])
    results = [(path, read_object(path)) for path in paths]
    faults = [fault for _, result in results for fault in result.err() or []]
    if faults:
        return Err(faults)
    merged, file_by_key = {}, {}
    for path, result in results:
        _merge(merged, result.unwrap(), path.name, file_by_key)
    return validate(Folder, merged, lambda keys: _file_of(keys, file_by_key))


def _merge(merged, value, file, file_by_key):
    for section, content in value.items():
        file_by_key[(section,)] = file
        if not isinstance(content, dict):
            merged[section] = content
            continue
        if not isinstance(merged.get(section), dict):
            merged[section] = {}
        for name, item in content.items():
            merged[section][name] = item
            file_by_key[(section, name)] = file


def _file_of(keys, file_by_key):
    exact = file_by_key.get(tuple(keys[:2]))
    return exact or file_by_key.get(tuple(keys[:1]), "folder")
