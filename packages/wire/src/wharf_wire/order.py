"""An order to an upstream, from the holder of the lease to a sidecar."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Count, Name

__all__ = ["Order"]


@dataclass(frozen=True, slots=True)
class Order:
    """Ask the upstream to load or unload `subject`, or to change its role.

    `fencing` is the number of the lease under which the order is given.
    """

    id: Name
    operation: Name
    subject: Name
    fencing: Count
    kind: Literal["order"] = "order"
