"""The state of a request in progress."""

from dataclasses import dataclass, field
from typing import Any

from wharf_gateway.http.inbound_request import InboundRequest
from wharf_gateway.model.customer import Customer
from wharf_gateway.model.request_details import RequestDetails
from wharf_gateway.model.route import Route

__all__ = ["RequestContext"]


@dataclass(slots=True, eq=False)
class RequestContext:
    """A request, its deadlines and what has been done for it.

    Times are the loop's, in seconds. `soft_deadline` is when the response must begin
    to be on time, `deadline` when the caller stops waiting. A lower `priority` is more
    urgent. `inputs` are handles of the results that the request's engine needs; they
    were made in `pool` by the gateway behind `preparer_link`, or by this gateway if
    that is None. `may_have_run` says whether an upstream may have begun to run the
    request. `tried` are ids of upstreams, `sends` counts the attempts.
    `response_latency` is the time from the start of the current attempt to its
    response or, for a stream, to its first event; None until then. `response_began`
    says whether the current attempt's upstream has sent the head of its response.
    `was_lost` says that an upstream was lost as it answered the request, `is_suspect`
    that this was before any part of the answer, so that the request goes where it would
    interrupt the fewest others.
    `began_at` is when the request had been read and its run began.
    `has_retry` says that the retry which follows has been taken from the budget.
    `features_by_service` holds what `request_features` has worked out. `estimate` is
    that of the upstream that was chosen last by expected time, `work` the prompt, and
    `crossing` whether it might leave its data centre.
    """

    inbound: InboundRequest
    route: Route
    details: RequestDetails
    customer: Customer | None
    has_customers: bool
    soft_deadline: float
    deadline: float
    priority: int = 0
    pool: str = ""
    inputs: list[str] | None = None
    preparer_link: Any = None
    may_have_run: bool = False
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    response_latency: float | None = None
    response_began: bool = False
    was_lost: bool = False
    is_suspect: bool = False
    has_retry: bool = False
    began_at: float = 0.0
    features_by_service: dict[str, tuple[str, ...]] = field(default_factory=dict)
    estimate: Any = None
    work: Any = None
    crossing: Any = None
