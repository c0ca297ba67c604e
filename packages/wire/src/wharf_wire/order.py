"""Order to an upstream, from the lease holder to a sidecar."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_wire.fields import Count, Name

__all__ = ["Order"]


@dataclass(frozen=True, slots=True)
class Order:
    """Request the upstream to load or unload `subject`, or to change its role.

    `fencing` is the fencing token of the sender's lease.
    """

    id: Name
    operation: Name
    subject: Name
    fencing: Count
    kind: Literal["order"] = "order"
