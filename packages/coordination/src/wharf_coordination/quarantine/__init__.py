"""Attribution of crashes to what requests share, and quarantine of the cause.

A feature is anything that several requests may have in common, such as a part of their
prompts; a request's fingerprint is one that only its repeats share. Features are
strings that the embedding program chooses.
"""

from wharf_coordination.quarantine.attribution import Attribution
from wharf_coordination.quarantine.crash import Crash
from wharf_coordination.quarantine.crash_attribution import CrashAttribution
from wharf_coordination.quarantine.crash_suspect import CrashSuspect
from wharf_coordination.quarantine.quarantine import LONGEST_SECONDS, Quarantine
from wharf_coordination.quarantine.quarantine_entry import QuarantineEntry

__all__ = [
    "Attribution",
    "Crash",
    "CrashAttribution",
    "CrashSuspect",
    "LONGEST_SECONDS",
    "Quarantine",
    "QuarantineEntry",
]
