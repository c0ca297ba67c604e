"""Status lines of HTTP/1.1."""

from http import HTTPStatus

__all__ = ["status_line"]


def status_line(status):
    """Return the status line of a response, without its line end.

    >>> status_line(421)
    'HTTP/1.1 421 Misdirected Request'
    >>> status_line(599)
    'HTTP/1.1 599 Unknown'
    """
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"HTTP/1.1 {status} {phrase}"
