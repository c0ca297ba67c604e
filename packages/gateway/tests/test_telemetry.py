"""Non-blocking logs, and metrics."""

import json
import os

import pytest
import structlog

from wharf_gateway.telemetry.exposition import expose
from wharf_gateway.telemetry.line_queue import LineQueue
from wharf_gateway.telemetry.log_setup import set_up_logs
from wharf_gateway.telemetry.meter import Meter


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)
    structlog.reset_defaults()


def test_lines_are_json_with_event_and_level(pipe):
    writer = set_up_logs(pipe[1])

    structlog.get_logger().info("answered", request="r1", seconds=0.5)
    writer.flush()

    line = json.loads(os.read(pipe[0], 10000))
    assert (line["event"], line["level"], line["request"]) == ("answered", "info", "r1")


def test_if_the_reader_stops_ordinary_lines_are_dropped_without_blocking(pipe):
    writer = set_up_logs(pipe[1])
    log = structlog.get_logger()
    for number in range(20000):
        log.info("answered", request=str(number))
    log.info("not_served", request="wanted")

    assert not writer.flush()
    assert len(writer.queue) <= writer.queue.max_lines
    assert writer.queue.dropped["answered"] > 0
    assert writer.queue.dropped["not_served"] == 0


def test_important_lines_replace_ordinary_ones():
    queue = LineQueue(max_lines=2)
    queue.push("answered", "1", False)
    queue.push("not_served", "2", True)
    queue.push("not_served", "3", True)
    queue.push("answered", "4", False)

    assert queue.pop(9) == ["2", "3"]
    assert queue.total_dropped == 2


def test_a_scrape_shows_counts_latencies_and_gauges():
    meter = Meter()
    meter.count("wharf_requests", "safe", 200, "ok")
    meter.observe("wharf_request_seconds", 0.03, "safe")
    meter.gauge("wharf_upstreams", lambda: {("ready",): 3})

    text = expose(meter).decode()

    assert 'wharf_requests_total{code="ok",kind="safe",status="200"} 1.0' in text
    assert 'wharf_request_seconds_bucket{kind="safe",le="0.05"} 1.0' in text
    assert 'wharf_upstreams{state="ready"} 3.0' in text
