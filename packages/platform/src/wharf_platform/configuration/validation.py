"""Validation of parsed files, with one fault for each invalid value."""

from itertools import chain

from pydantic import ValidationError
from result import Err, Ok, Result

from wharf_platform.configuration.fault import Fault
from wharf_platform.configuration.invalid_references_error import InvalidReferencesError
from wharf_platform.configuration.source_file import SourceFile

__all__ = ["read_model", "validate"]


def validate(model, value, locate) -> Result[object, list[Fault]]:
    """Return `value` as a `model`, or one fault for each invalid value.

    `locate` returns the Location of a path of keys.
    """
    try:
        return Ok(model.model_validate(value))
    except ValidationError as error:
        return Err(list(chain.from_iterable(_faults(error, locate))))


def read_model(model, path, overrides=None) -> Result[object, list[Fault]]:
    """Return the contents of the file at `path` as a `model`, or its faults.

    `overrides` take precedence over the values in the file.
    """
    return SourceFile.read(path).and_then(
        lambda source: validate(model, source.value | (overrides or {}), source.locate)
    )


def _faults(error, locate):
    for item in error.errors(include_url=False):
        cause = item.get("ctx", {}).get("error")
        if isinstance(cause, InvalidReferencesError):
            yield [
                Fault.at(locate(reference.path), reference.path, reference.expected)
                for reference in cause.errors
            ]
        else:
            keys = tuple(key for key in item["loc"] if key != "[key]")
            yield [Fault.at(locate(keys), keys, item["msg"])]
