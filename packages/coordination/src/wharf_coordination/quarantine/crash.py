"""One crash of an upstream."""

from dataclasses import dataclass, field

from wharf_coordination.quarantine.crash_suspect import CrashSuspect

__all__ = ["Crash"]


@dataclass(slots=True)
class Crash:
    """A crash of `upstream` at the time `at`, and the requests that may be its cause.

    `at` is in seconds. Several observers may each report some of the requests.
    """

    upstream: str
    at: float
    suspect_by_fingerprint: dict[str, CrashSuspect] = field(default_factory=dict)

    def add(self, suspects):
        """Add requests; of equal ones, keep the one that is the most likely cause."""
        for suspect in suspects:
            known = self.suspect_by_fingerprint.get(suspect.fingerprint)
            if known is None or _likelihood(suspect) > _likelihood(known):
                self.suspect_by_fingerprint[suspect.fingerprint] = suspect

    @property
    def prime_suspects(self):
        """Return the requests whose answer had begun, or all if there is none."""
        suspects = list(self.suspect_by_fingerprint.values())
        return [suspect for suspect in suspects if suspect.began] or suspects


def _likelihood(suspect):
    return suspect.began, not suspect.served
