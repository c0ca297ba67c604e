"""Notice of the sender's configuration revision."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Count

__all__ = ["RevisionNotice"]


@dataclass(frozen=True, slots=True)
class RevisionNotice:
    """Announce the revision of the sender's configuration."""

    revision: Count
    kind: Literal["revision_notice"] = "revision_notice"
