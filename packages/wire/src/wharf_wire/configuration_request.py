"""Request for the receiver's current configuration."""

from typing import Literal

from pydantic.dataclasses import dataclass

__all__ = ["ConfigurationRequest"]


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Request a `ConfigurationOffer` from the receiver."""

    kind: Literal["configuration_request"] = "configuration_request"
