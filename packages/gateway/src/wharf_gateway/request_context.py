"""A request under way."""

from dataclasses import dataclass, field
from typing import Any

from wharf_gateway.http.inbound_request import InboundRequest
from wharf_gateway.model.customer import Customer
from wharf_gateway.model.request_details import RequestDetails
from wharf_gateway.model.route import Route

__all__ = ["RequestContext"]


@dataclass(slots=True, eq=False)
class RequestContext:
    """What decides about a request; times are the loop's, in seconds.

    `on_time_by` is when its answer must begin to be on time, `deadline` when the
    caller stops waiting. A lower `priority` is more urgent. `may_have_run` says
    whether some upstream may have begun to run it. `inputs` are the results that its
    engine needs, made in `pool` by the gateway behind the link `owner`, none for this
    one. `first_part_seconds` is what the attempt under way took up to its answer.
    """

    inbound: InboundRequest
    route: Route
    details: RequestDetails
    customer: Customer | None
    has_customers: bool
    on_time_by: float
    deadline: float
    priority: int = 0
    pool: str = ""
    inputs: list[str] | None = None
    owner: Any = None
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    first_part_seconds: float | None = None
