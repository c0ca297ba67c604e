"""What upstreams without an entry have said of themselves."""

from dataclasses import dataclass, field

from wharf_gateway.routing.self_report import SelfReport

__all__ = ["SelfReports"]

MAX_REPORTS = 1000  # that are kept, those of the last upstreams to be removed


@dataclass(slots=True)
class SelfReports:
    """Reports of incarnations whose entries were removed, in case one comes back.

    >>> from wharf_gateway.model.upstream import Upstream
    >>> first = Upstream("u1", "s", "a:1", "dc", "v1", 4, False, started_ms=1)
    >>> reports, report = SelfReports(), SelfReport()
    >>> reports.keep(first, report)
    >>> reports.take(first) is report
    True
    """

    _report_by_incarnation: dict = field(default_factory=dict)

    def keep(self, upstream, report):
        """Keep the report of an upstream that is removed."""
        self._report_by_incarnation[_incarnation(upstream)] = report
        if len(self._report_by_incarnation) > MAX_REPORTS:
            del self._report_by_incarnation[next(iter(self._report_by_incarnation))]

    def take(self, upstream):
        """Return the report of this incarnation, a new one if there is none."""
        report = self._report_by_incarnation.pop(_incarnation(upstream), None)
        return report or SelfReport()


def _incarnation(upstream):
    return (upstream.id, upstream.started_ms, upstream.service, upstream.version)
