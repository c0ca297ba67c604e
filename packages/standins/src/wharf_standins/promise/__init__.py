"""A search by machine for requests that end without an answer, in virtual time."""

from wharf_standins.promise.play import Play

__all__ = ["Play"]
