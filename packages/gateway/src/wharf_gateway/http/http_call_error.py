"""Failure of an HTTP call."""

__all__ = ["AnswerTooLargeError", "HttpCallError", "UnmatchedAnswerError"]


class HttpCallError(Exception):
    """Raised if a response does not arrive, is incomplete or is invalid.

    `was_sent` is false if the request cannot have reached the server.
    """

    def __init__(self, reason, was_sent=True):
        super().__init__(reason)
        self.was_sent = was_sent


class AnswerTooLargeError(HttpCallError):
    """Raised if a response exceeds a limit; its connection has been reset."""


class UnmatchedAnswerError(HttpCallError):
    """Raised if a response has no id; its connection has been reset."""
