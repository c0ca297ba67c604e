"""Kinds of calls of the platform."""

from enum import StrEnum

__all__ = ["CallKind"]


class CallKind(StrEnum):
    """What a call does; the platform counts reads and writes apart."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"
    LIST = "list"
    DELETE = "delete"
    HOSTS = "hosts"
