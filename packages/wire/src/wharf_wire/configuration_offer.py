"""A configuration that one process hands to another."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Count, DocumentText

__all__ = ["ConfigurationOffer"]


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """Carry the configuration of `revision` as a JSON document."""

    revision: Count
    document: DocumentText
    kind: Literal["configuration_offer"] = "configuration_offer"
