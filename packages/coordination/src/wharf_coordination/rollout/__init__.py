"""Rollouts: record, traffic shares, evidence and comparison of versions."""

from wharf_coordination.rollout.action import Action, Advance, Finish, TakeBack, Wait
from wharf_coordination.rollout.driver import Driver
from wharf_coordination.rollout.evidence import Evidence
from wharf_coordination.rollout.judge import Judge
from wharf_coordination.rollout.load_limiter import LoadLimiter
from wharf_coordination.rollout.participant import Participant
from wharf_coordination.rollout.rollout import (
    MAX_DURATION_SECONDS,
    MIN_DURATION_SECONDS,
    Rollout,
)
from wharf_coordination.rollout.rollout_view import RolloutView
from wharf_coordination.rollout.route import Route
from wharf_coordination.rollout.route_evidence import RouteEvidence
from wharf_coordination.rollout.sample import Sample
from wharf_coordination.rollout.share_plan import SharePlan
from wharf_coordination.rollout.verdict import Bad, Good, Undecided, Verdict
from wharf_coordination.rollout_outcome import RolloutOutcome

__all__ = [
    "MAX_DURATION_SECONDS",
    "MIN_DURATION_SECONDS",
    "Action",
    "Advance",
    "Bad",
    "Driver",
    "Evidence",
    "Finish",
    "Good",
    "Judge",
    "LoadLimiter",
    "Participant",
    "Rollout",
    "RolloutOutcome",
    "RolloutView",
    "Route",
    "RouteEvidence",
    "Sample",
    "SharePlan",
    "TakeBack",
    "Undecided",
    "Verdict",
    "Wait",
]
