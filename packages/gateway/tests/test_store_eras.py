import pytest

from wharf_gateway.store.store_eras import StoreEras


def test_the_first_era_is_no_restoration():
    eras, calls = StoreEras(), []
    eras.callbacks.append(calls.append)

    eras.record(4, 10.0)
    eras.record(4, 11.0)

    assert eras.current == 4
    assert eras.restored_at == float("-inf")
    assert calls == []


# Guards against a delayed answer of an earlier era that undoes a restoration.
def test_only_a_later_era_is_a_restoration():
    eras, calls = StoreEras(), []
    eras.callbacks.append(calls.append)

    eras.record(4, 10.0)
    eras.record(5, 12.0)
    eras.record(4, 13.0)

    assert (eras.current, eras.restored_at) == (5, 12.0)
    assert calls == [12.0]


def test_an_answer_without_an_era_changes_nothing():
    eras = StoreEras()

    eras.record(None, 10.0)
    assert eras.current is None
    eras.record(4, 11.0)
    eras.record(None, 12.0)
    assert (eras.current, eras.restorations) == (4, 0)


# Guards against a restoration that is believed on a peer's word alone.
def test_what_a_peer_names_is_only_heard():
    eras, calls = StoreEras(), []
    eras.callbacks.append(calls.append)
    eras.record(4, 10.0)

    assert eras.hear(6)
    assert not eras.hear(6)
    assert not eras.hear(5)
    assert (eras.current, eras.restorations, calls) == (4, 0, [])


@pytest.mark.parametrize(
    ("era", "is_past", "is_newest"),
    [(3, True, False), (4, False, False), (5, False, True), (None, False, False)],
)
def test_eras_are_past_by_the_store_and_newest_by_all(era, is_past, is_newest):
    eras = StoreEras()
    eras.record(4, 10.0)
    eras.hear(5)

    assert (eras.is_past(era), eras.is_newest(era)) == (is_past, is_newest)


def test_in_a_store_without_eras_none_is_past():
    assert StoreEras().is_newest(None)
    assert not StoreEras().is_past(None)
