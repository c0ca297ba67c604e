"""Request for the configuration that the receiver holds."""

from typing import Literal

from pydantic.dataclasses import dataclass

__all__ = ["ConfigurationRequest"]


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Ask for a `ConfigurationOffer` of the receiver's configuration."""

    kind: Literal["configuration_request"] = "configuration_request"
