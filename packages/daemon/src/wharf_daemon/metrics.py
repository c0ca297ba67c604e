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
            "wharf_requests", "Requests by result code", ["pipeline", "code"]
        )
        self.attempts = self._counter(
            "wharf_attempts", "Attempts of stages by result code", ["stage", "code"]
        )
        self.dropped_frames = self._counter(
            "wharf_dropped_frames",
            "Dropped frames of ended or duplicate attempts",
            [],
        )
        self.bad_messages = self._counter(
            "wharf_bad_messages", "Invalid messages, each of which closed its link", []
        )
        self.store_calls = self._counter(
            "wharf_store_calls", "Calls of the platform's store by kind", ["kind"]
        )
        self.configuration_offers = self._counter(
            "wharf_configuration_offers", "Configurations sent to peers", []
        )
        self.vetoes = self._counter(
            "wharf_vetoes", "Versions vetoed by this process", []
        )
        self.rollout_writes = self._counter(
            "wharf_rollout_writes", "Writes of rollout records by outcome", ["outcome"]
        )
        self.stage_seconds = Histogram(
            "wharf_stage_seconds",
            "Duration of a stage in seconds, including retries",
            ["pipeline", "stage"],
            buckets=STAGE_SECONDS_BUCKETS,
            registry=self.registry,
        )
        self.links = self._gauge("wharf_links", "Open links")
        self.running = self._gauge(
            "wharf_running", "Requests (entry) or calls (sidecar) in progress"
        )
        self.limit = self._gauge("wharf_limit", "Concurrency limit of a sidecar")
        self.revision = self._gauge(
            "wharf_configuration_revision", "Revision of the current configuration"
        )

    def _gauge(self, name, help_text):
        return Gauge(name, help_text, registry=self.registry)

    def _counter(self, name, help_text, labels):
        return Counter(name, help_text, labels, registry=self.registry)
