"""Settings of a gateway."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from wharf_gateway.duty_settings import DutySettings
from wharf_gateway.http.piece_turns import DEFAULT_PIECES
from wharf_gateway.locality_settings import LocalitySettings
from wharf_gateway.setting_types import Address, Seconds

__all__ = ["GatewaySettings"]

# A core prepares about 250 requests a second, with some 5 KB of messages each.
MEGABITS_PER_CORE = 10.0

RoutingPolicy = Literal["auto", "by_load", "by_expected_time"]
PreparationPolicy = Literal["auto", "by_deadline", "by_loss"]


class GatewaySettings(BaseModel):
    """The contents of a gateway's settings file; addresses are HOST:PORT.

    `dialect` names the module that reads and writes the platform's formats. The retry
    settings limit the retries of all gateways together, to the fraction `retry_share`
    of the requests plus `retry_reserve` in each `retry_window` seconds. A process that
    is stopped exits within `stop_seconds`. Metrics are served on `metrics_listen`, if
    it is given. An upstream's answer is broken if its head exceeds
    `max_answer_head_bytes`, or if a body or an event that has to be held as a whole
    exceeds `max_answer_bytes`. The host provides `processor_share` of a core that is
    `processor_speed` times as fast as usual, and a link of `link_megabits` a second.
    Upstreams are chosen by `routing_policy` and preparations ordered by
    `preparation_policy`, see `wharf_gateway.policies`. `features` are the parts of the
    service that the deployment uses, None for all of them. With `locality`, requests
    that are routed by expected time leave their data centre only if that is worth it.
    Without `duties` this gateway has none.
    The process may use `memory_megabytes` and `max_descriptors` open files and
    connections, by default the memory of the smallest host in use and the process's
    own limit of open files. From these follow the limits `caller_megabytes`, of what
    callers have sent or not read, and `max_caller_connections`. A caller that makes no
    progress for `stall_seconds` makes room for others. Heads have at most
    `max_header_lines`, by default any number within their bytes. In a turn of the event
    loop about `pieces_per_turn` header lines and chunks of callers that send many are
    parsed; others don't wait behind them.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1, max_length=64)
    data_centre: str = Field(min_length=1, max_length=100)
    host: str = Field(min_length=1)
    listen: Address
    ready_listen: Address
    metrics_listen: Address | None = None
    peer_port: int = Field(ge=1, le=65535)
    store: Address
    dialect: str = "wharf_adapter"
    retry_share: float = Field(default=0.1, ge=0, le=1)
    retry_reserve: float = Field(default=10, ge=0)
    retry_window: Seconds = 10.0
    stop_seconds: Seconds = 8.0
    max_answer_head_bytes: int = Field(default=65_536, ge=1024, le=1 << 24)
    max_answer_bytes: int = Field(default=1 << 20, ge=1024, le=1 << 30)
    processor_share: float = Field(default=1.0, gt=0)
    processor_speed: float = Field(default=1.0, gt=0)
    link_megabits: float = Field(default=1000.0, gt=0)
    features: frozenset[str] | None = None
    routing_policy: RoutingPolicy = "auto"
    preparation_policy: PreparationPolicy = "auto"
    locality: LocalitySettings | None = None
    duties: DutySettings | None = None
    memory_megabytes: float | None = Field(default=None, gt=0)
    max_descriptors: int | None = Field(default=None, gt=0)
    caller_megabytes: float | None = Field(default=None, gt=0)
    max_caller_connections: int | None = Field(default=None, gt=0)
    max_header_lines: int | None = Field(default=None, ge=16)
    stall_seconds: Seconds = 2.0
    pieces_per_turn: int = Field(default=DEFAULT_PIECES, ge=8)
    seed: int | None = None

    @property
    def has_rollouts(self):
        """Return whether services are moved to other versions by rollouts."""
        return self.features is None or "rollout" in self.features

    @property
    def capacity(self):
        """Return the host's capacity, in cores of usual speed.

        A link with less than `MEGABITS_PER_CORE` for each core limits it.
        """
        cores = self.processor_share * self.processor_speed
        return min(cores, self.link_megabits / MEGABITS_PER_CORE)
