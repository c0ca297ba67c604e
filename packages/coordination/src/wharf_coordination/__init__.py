"""Coordination parts for others to embed: pure decisions and state machines.

Nothing here does I/O, reads a clock or draws randomness of its own; the present
time and a seeded generator are arguments.
"""

from wharf_coordination.answer import AnswerAssembler
from wharf_coordination.backoff import Backoff
from wharf_coordination.breaker import Breaker
from wharf_coordination.call_budget import CallBudget
from wharf_coordination.candidate import Candidate
from wharf_coordination.chooser import Chooser
from wharf_coordination.code import Code
from wharf_coordination.deadline import Deadline
from wharf_coordination.death_kind import DeathKind
from wharf_coordination.death_watch import DeathWatch
from wharf_coordination.fact import Fact, FactKind
from wharf_coordination.fact_set import FactSet
from wharf_coordination.fencing_guard import FencingGuard
from wharf_coordination.fingerprint import request_fingerprint, stage_fingerprint
from wharf_coordination.flow_window import ReceiveWindow, SendWindow, chunk_cost
from wharf_coordination.gate import Gate
from wharf_coordination.lease import Lease, LeaseRecord
from wharf_coordination.monotone import Monotone
from wharf_coordination.priority import Priority
from wharf_coordination.ran import Ran
from wharf_coordination.refusal import Refusal
from wharf_coordination.report_schedule import ReportSchedule
from wharf_coordination.seen_set import SeenSet
from wharf_coordination.suspects import Suspects
from wharf_coordination.suspicion import Suspicion
from wharf_coordination.verdict import Verdict

__all__ = [
    "AnswerAssembler",
    "Backoff",
    "Breaker",
    "CallBudget",
    "Candidate",
    "Chooser",
    "Code",
    "Deadline",
    "DeathKind",
    "DeathWatch",
    "Fact",
    "FactKind",
    "FactSet",
    "FencingGuard",
    "Gate",
    "Lease",
    "LeaseRecord",
    "Monotone",
    "Priority",
    "Ran",
    "ReceiveWindow",
    "Refusal",
    "ReportSchedule",
    "Suspects",
    "Suspicion",
    "Verdict",
    "request_fingerprint",
    "stage_fingerprint",
    "SeenSet",
    "SendWindow",
    "chunk_cost",
]
