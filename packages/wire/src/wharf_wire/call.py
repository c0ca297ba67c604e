"""Request to run one stage, from an entry to a sidecar."""

from typing import Literal

from pydantic.dataclasses import dataclass

from wharf_coordination import Priority
from wharf_wire.fields import Body, Count, Name, Seconds

__all__ = ["Call"]


@dataclass(frozen=True, slots=True)
class Call:
    """Ask the sidecar to run one attempt of a stage.

    `attempt` is a unique id. `time_left` is in seconds. `resume_from` is the
    sequence number of the first chunk that the entry still needs. `fingerprint`
    identifies the request in suspicions if the upstream crashes.
    """

    attempt: Name
    request: Name
    pipeline: Name
    stage: Name
    customer: Name
    version: Name
    priority: Priority
    time_left: Seconds
    idempotent: bool
    streaming: bool
    body: Body
    revision: Count
    resume_from: Count = 0
    fingerprint: Name = ""
    kind: Literal["call"] = "call"
