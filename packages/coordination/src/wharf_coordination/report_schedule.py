"""Schedule of a sidecar's load reports."""

from dataclasses import dataclass

__all__ = ["ReportSchedule"]

HEARTBEAT_SECONDS = 2.0
IN_FLIGHT_SHARE = 1 / 16
SERVICE_TIME_SHARE = 1 / 4


@dataclass(slots=True)
class ReportSchedule:
    """Decide when to report: on a change of the load or at the heartbeat.

    Small changes of the calls in flight and of the service time are not reported,
    since entries balance load by coarse differences. Any other change is reported
    immediately.
    """

    _last: object = None
    _next_at: float = 0.0

    def is_due(self, load, now):
        """Return whether `load` should be reported now."""
        if self._last is None or now >= self._next_at:
            return True
        return self._has_changed(self._last, load)

    def reported(self, load, now):
        """Record that `load` was reported."""
        self._last = load
        self._next_at = now + HEARTBEAT_SECONDS

    def _has_changed(self, last, load):
        in_flight = abs(load.in_flight - last.in_flight)
        service_time = abs(load.service_time - last.service_time)
        return (
            in_flight > IN_FLIGHT_SHARE * last.limit
            or service_time > SERVICE_TIME_SHARE * last.service_time
            or self._other_fields(load) != self._other_fields(last)
        )

    def _other_fields(self, load):
        return load.limit, load.leaving, load.version, load.revision
