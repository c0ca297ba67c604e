"""Rendezvous hashing: all processes make the same choice without coordination."""

import xxhash

__all__ = ["fraction", "ranked", "subset"]

HASH_RANGE = 2**64


def ranked(key, names):
    """Return `names` in the order of their rendezvous hash with `key`.

    Adding or removing a name does not change the relative order of the others.

    >>> ranked("entry-1", ["a", "b"]) == ranked("entry-1", ["b", "a"])
    True
    """
    return sorted(names, key=lambda name: (_score(key, name), name))


def subset(key, names, size):
    """Return the first `size` of the ranked names, or all if there are fewer."""
    names = list(names)
    return set(names if len(names) <= size else ranked(key, names)[:size])


def fraction(key, name):
    """Return a number from 0 to 1 that differs between names, the same everywhere."""
    return _score(key, name) / HASH_RANGE


def _score(key, name):
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
