"""Notice of the configuration that the sender holds."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Count

__all__ = ["RevisionNotice"]


@dataclass(frozen=True, slots=True)
class RevisionNotice:
    """Say that the sender holds the configuration of `revision`."""

    revision: Count
    kind: Literal["revision_notice"] = "revision_notice"
