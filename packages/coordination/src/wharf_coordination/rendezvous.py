"""Rendezvous hashing: a choice on which all agree who see the same members."""

from collections.abc import Iterable

from xxhash import xxh64_intdigest

__all__ = ["by_preference"]


def by_preference(subject, members: Iterable[str]) -> list[str]:
    """Return `members` ordered by their preference for `subject`.

    A member that comes or goes changes the first choice of few subjects.

    >>> by_preference("shard-1", ["a", "b", "c"])[0] in "abc"
    True
    >>> everyone = by_preference("shard-1", ["a", "b", "c"])
    >>> by_preference("shard-1", everyone[1:]) == everyone[1:]
    True
    """

    def weight(member):
        return xxh64_intdigest(f"{subject}\0{member}".encode())

    return sorted(members, key=weight, reverse=True)
