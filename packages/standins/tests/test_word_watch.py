"""The soak finds requests that upstreams have said they don't want."""

from wharf_standins.soak.word_watch import WordWatch


def _watch(is_calm=True):
    return WordWatch(lambda gateway, since, until: is_calm)


def test_request_to_a_leaving_upstream_is_found():
    watch = _watch()
    watch.record_leaving("u", "g", 10.0)
    watch.record_leaving("u", "g", 20.0)
    watch.record_arrival("u", "g", "r1", sent_at=11.9, now=13.0)
    watch.record_arrival("u", "other", "r2", sent_at=13.0, now=13.0)
    assert watch.findings == []

    watch.record_arrival("u", "g", "r3", sent_at=12.1, now=12.2)
    assert [finding.request_id for finding in watch.findings] == ["r3"]


def test_third_request_in_a_quiet_period_is_found():
    watch = _watch()
    watch.record_quiet("u", "g", 2.0, 10.0)
    for number, now in enumerate((10.1, 10.4, 10.6, 11.0, 12.1)):
        watch.record_arrival("u", "g", f"r{number}", sent_at=now, now=now)
    assert watch.findings == []

    watch.record_arrival("u", "g", "r9", sent_at=11.5, now=11.5)
    assert [finding.request_id for finding in watch.findings] == ["r9"]


def test_restart_of_the_gateway_excuses_it():
    watch = _watch(is_calm=False)
    watch.record_leaving("u", "g", 10.0)
    watch.record_arrival("u", "g", "r1", sent_at=13.0, now=13.0)

    assert watch.findings == []
