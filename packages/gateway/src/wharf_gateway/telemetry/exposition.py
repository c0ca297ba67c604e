"""Metrics in the text format of Prometheus."""

from itertools import accumulate

from wharf_gateway.telemetry.meter import BUCKET_BOUNDS_SECONDS

__all__ = ["expose"]

_LABELS = {
    "wharf_requests": ["kind", "status", "code"],
    "wharf_request_seconds": ["kind"],
    "wharf_upstream_seconds": ["kind"],
    "wharf_attempts": ["outcome"],
    "wharf_unanswered_requests": ["reason"],
    "wharf_connection_ends": ["end", "cut"],
    "wharf_preparations": ["outcome"],
    "wharf_preparation_seconds": ["outcome"],
    "wharf_preparers": ["rank"],
    "wharf_upstreams": ["state"],
    "wharf_store_unreadable_entries": ["kind"],
    "wharf_store_watch_checks": ["kind", "result"],
}


def expose(meter):
    """Return the metrics of `meter` as the body of a scrape.

    `prometheus_client` is imported at the first scrape, since its import would add
    0.12 s to the start of a process.
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry()
    registry.register(_Families(meter))
    return generate_latest(registry)


class _Families:
    def __init__(self, meter):
        self._meter = meter

    def collect(self):
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, counts in self._meter.count_by_name.items():
            family = CounterMetricFamily(name, name, labels=_LABELS.get(name, []))
            for labels, value in counts.items():
                family.add_metric([str(label) for label in labels], value)
            yield family
        for name, counts in self._meter.buckets_by_name.items():
            family = HistogramMetricFamily(name, name, labels=_LABELS.get(name, []))
            for labels, (buckets, total) in counts.items():
                names = [*map(str, BUCKET_BOUNDS_SECONDS), "+Inf"]
                sums = zip(names, accumulate(buckets), strict=True)
                family.add_metric([str(x) for x in labels], list(sums), total)
            yield family
        for name, read in self._meter.gauge_by_name.items():
            family = GaugeMetricFamily(name, name, labels=_LABELS.get(name, []))
            for labels, value in read().items():
                family.add_metric([str(label) for label in labels], value)
            yield family
