"""Reading of JSON files with comments into validated models."""

import re
from pathlib import Path

import pyjson5
from pydantic import ValidationError
from result import Err, Ok, Result

from wharf_platform.configuration.fault import Fault

__all__ = ["read_model", "read_object", "validate"]


def read_object(path) -> Result[dict, list[Fault]]:
    """Return the JSON object in the file at `path`, or its faults."""
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Fault(path.name, "file", str(error))])
    try:
        value = pyjson5.loads(text)
    except pyjson5.Json5DecoderException as error:
        return Err([_syntax_fault(path.name, text, error)])
    if not isinstance(value, dict):
        return Err([Fault(path.name, "line 1", "expected a JSON object")])
    return Ok(value)


def validate(model, value, file_by_key) -> Result[object, list[Fault]]:
    """Return `value` as a `model`, or one fault for each wrong key.

    `file_by_key` names the file that set a path of keys, for the messages.
    """
    try:
        return Ok(model.model_validate(value))
    except ValidationError as error:
        return Err([_fault(item, file_by_key) for item in error.errors()])


def read_model(model, path) -> Result[object, list[Fault]]:
    """Return the file at `path` as a `model`, or its faults."""
    path = Path(path)
    return read_object(path).and_then(
        lambda value: validate(model, value, lambda keys: path.name)
    )


def _syntax_fault(file, text, error):
    message = str(error.args[0])
    offset = re.search(r"near (\d+)", message)
    line = text.count("\n", 0, int(offset[1])) + 1 if offset else 1
    expected = re.sub(r"b'([^']*)'| near \d+", r"\1", message)
    return Fault(file, f"line {line}", expected)


def _fault(item, file_by_key):
    place = ".".join(str(key) for key in item["loc"]) or "references"
    return Fault(file_by_key(item["loc"]), place, item["msg"])
