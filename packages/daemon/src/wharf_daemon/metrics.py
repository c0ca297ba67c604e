"""Prometheus metrics of one process."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

__all__ = ["Metrics"]

STAGE_SECONDS_BUCKETS = (
    *(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5),
    *(1.0, 2.5, 5.0, 10.0, 30.0),
)


class Metrics:
    """Metrics of one daemon in a separate registry."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.requests = self._counter(
            "wharf_requests", "Requests by outcome", ["pipeline", "code"]
        )
        self.unanswered_requests = self._counter(
            "wharf_unanswered_requests",
            "Requests that ended without an answer though their caller hadn't left",
            ["reason"],
        )
        self.attempts = self._counter(
            "wharf_attempts", "Attempts of stages by outcome", ["stage", "code"]
        )
        self.dropped_frames = self._counter(
            "wharf_dropped_frames",
            "Frames of attempts that are over",
            [],
        )
        self.bad_messages = self._counter(
            "wharf_bad_messages", "Malformed messages that closed a link", []
        )
        self.store_calls = self._counter(
            "wharf_store_calls", "Calls of the platform's store", ["kind"]
        )
        self.configuration_offers = self._counter(
            "wharf_configuration_offers", "Configurations handed to peers", []
        )
        self.vetoes = self._counter(
            "wharf_vetoes", "Versions that this process found to be bad", []
        )
        self.rollout_writes = self._counter(
            "wharf_rollout_writes", "Changes of rollouts by outcome", ["outcome"]
        )
        self.stage_seconds = Histogram(
            "wharf_stage_seconds",
            "Time of a stage, retries included",
            ["pipeline", "stage"],
            buckets=STAGE_SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.links = self._gauge("wharf_links", "Open links")
        self.running = self._gauge(
            "wharf_running", "Requests of an entry, or calls of a sidecar, under way"
        )
        self.limit = self._gauge(
            "wharf_limit", "Calls at a time that a sidecar's gate admits"
        )
        self.revision = self._gauge(
            "wharf_configuration_revision", "Revision of the configuration in force"
        )

    def _gauge(self, name, help_text):
        return Gauge(name, help_text, registry=self.registry)

    def _counter(self, name, help_text, labels):
        return Counter(name, help_text, labels, registry=self.registry)
