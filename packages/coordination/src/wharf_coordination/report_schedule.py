"""When a sidecar's load is worth a report."""

from dataclasses import dataclass

__all__ = ["ReportSchedule"]

HEARTBEAT_SECONDS = 2.0
IN_FLIGHT_SHARE = 1 / 16
SERVICE_TIME_SHARE = 1 / 4


@dataclass(slots=True)
class ReportSchedule:
    """Ask for a report when the load has moved, or after a heartbeat's time.

    Small moves of what is in flight and of the service time are left out, as
    entries choose by coarse differences. Any other change is reported at once.
    """

    _last: object = None
    _next_at: float = 0.0

    def is_due(self, load, now):
        """Return whether `load` should be reported now."""
        if self._last is None or now >= self._next_at:
            return True
        return self._has_moved(self._last, load)

    def reported(self, load, now):
        """Count `load` as reported."""
        self._last = load
        self._next_at = now + HEARTBEAT_SECONDS

    def _has_moved(self, last, load):
        in_flight = abs(load.in_flight - last.in_flight)
        service_time = abs(load.service_time - last.service_time)
        return (
            in_flight > IN_FLIGHT_SHARE * last.limit
            or service_time > SERVICE_TIME_SHARE * last.service_time
            or self._rest(load) != self._rest(last)
        )

    def _rest(self, load):
        return load.limit, load.leaving, load.version, load.revision
