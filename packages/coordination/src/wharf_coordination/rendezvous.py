"""Rendezvous hashing: the same choice by everyone, without agreement."""

import xxhash

__all__ = ["ranked", "subset"]


def ranked(key, names):
    """Return `names` in the order in which `key` prefers them.

    A name that comes or goes moves no other name's place relative to the rest.

    >>> ranked("entry-1", ["a", "b"]) == ranked("entry-1", ["b", "a"])
    True
    """
    return sorted(names, key=lambda name: (_score(key, name), name))


def subset(key, names, size):
    """Return the `size` names that `key` prefers, or all when there are fewer."""
    names = list(names)
    return set(names if len(names) <= size else ranked(key, names)[:size])


def _score(key, name):
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
