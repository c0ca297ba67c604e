"""Status lines of HTTP/1.1."""

from http import HTTPStatus

__all__ = ["is_final_status", "status_line"]


def is_final_status(status):
    """Return whether a status code is one of a final response, 200 to 599.

    >>> is_final_status(0), is_final_status(103), is_final_status(599)
    (False, False, True)
    """
    return 200 <= status <= 599


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
