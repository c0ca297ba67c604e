"""Coordination logic to embed in other programs: pure functions and state machines.

Nothing here does I/O, reads a clock or seeds a random generator; the current
time and the generator are arguments.
"""

from wharf_coordination.answer import AnswerAssembler
from wharf_coordination.backoff import Backoff
from wharf_coordination.candidate import Candidate
from wharf_coordination.chooser import Chooser
from wharf_coordination.circuit_breaker import CircuitBreaker
from wharf_coordination.code import Code
from wharf_coordination.concurrency_limiter import ConcurrencyLimiter
from wharf_coordination.crash_tracker import CrashTracker
from wharf_coordination.deadline import Deadline
from wharf_coordination.death_kind import DeathKind
from wharf_coordination.drain_rate import DrainRate
from wharf_coordination.fact import Fact, FactKind
from wharf_coordination.fact_set import FactSet
from wharf_coordination.fair_queue import FairQueue
from wharf_coordination.fencing_guard import FencingGuard
from wharf_coordination.fingerprint import request_fingerprint, stage_fingerprint
from wharf_coordination.flow_window import ReceiveWindow, SendWindow, chunk_cost
from wharf_coordination.headroom import limit_for_priority
from wharf_coordination.latest_revision import LatestRevision
from wharf_coordination.lease import Lease, LeaseRecord
from wharf_coordination.outlier_detector import OutlierDetector
from wharf_coordination.permit import Permit
from wharf_coordination.priority import Priority
from wharf_coordination.quarantine import (
    CrashAttribution,
    CrashSuspect,
    Quarantine,
    QuarantineEntry,
)
from wharf_coordination.queued_call import QueuedCall
from wharf_coordination.ran import Ran
from wharf_coordination.rate_limiter import RateLimiter
from wharf_coordination.rate_share import RateShare, rate_holders
from wharf_coordination.refusal import Refusal
from wharf_coordination.rendezvous import ranked, subset
from wharf_coordination.report_schedule import ReportSchedule
from wharf_coordination.retry_budget import RetryBudget
from wharf_coordination.seen_set import SeenSet
from wharf_coordination.service_times import ServiceTimes
from wharf_coordination.stage_times import StageTimes
from wharf_coordination.suspects import Suspects
from wharf_coordination.suspicion import Suspicion
from wharf_coordination.upstream_view import UpstreamView
from wharf_coordination.verdict import Verdict
from wharf_coordination.warm_up import WarmUp

__all__ = [
    "AnswerAssembler",
    "Backoff",
    "CircuitBreaker",
    "RateLimiter",
    "Candidate",
    "Chooser",
    "Code",
    "Deadline",
    "DeathKind",
    "CrashTracker",
    "CrashAttribution",
    "CrashSuspect",
    "DrainRate",
    "Fact",
    "FactKind",
    "FactSet",
    "FairQueue",
    "FencingGuard",
    "ConcurrencyLimiter",
    "Permit",
    "Lease",
    "LeaseRecord",
    "LatestRevision",
    "OutlierDetector",
    "Priority",
    "Quarantine",
    "QuarantineEntry",
    "QueuedCall",
    "Ran",
    "RateShare",
    "ReceiveWindow",
    "Refusal",
    "ReportSchedule",
    "RetryBudget",
    "SeenSet",
    "SendWindow",
    "ServiceTimes",
    "StageTimes",
    "Suspects",
    "Suspicion",
    "UpstreamView",
    "Verdict",
    "WarmUp",
    "limit_for_priority",
    "chunk_cost",
    "ranked",
    "rate_holders",
    "request_fingerprint",
    "stage_fingerprint",
    "subset",
]
