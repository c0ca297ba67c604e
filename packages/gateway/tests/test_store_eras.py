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
