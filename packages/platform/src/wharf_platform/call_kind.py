"""Kinds of calls to the platform."""

from enum import StrEnum

__all__ = ["CallKind"]


class CallKind(StrEnum):
    """Kind of a call; the platform limits reads and writes separately."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"
    LIST = "list"
    DELETE = "delete"
    HOSTS = "hosts"
