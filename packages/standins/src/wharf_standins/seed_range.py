"""Parsing of seeds given as a command-line argument."""

__all__ = ["seed_range"]


def seed_range(text):
    """Return the seeds of FIRST-LAST or of one number.

    Raises `ValueError` if `text` has neither form.

    >>> seed_range("3-5"), seed_range("7")
    (range(3, 6), range(7, 8))
    """
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)
