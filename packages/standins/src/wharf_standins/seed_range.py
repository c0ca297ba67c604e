"""Seeds as a command's argument."""

__all__ = ["seed_range"]


def seed_range(text):
    """Return the seeds from the first to the last; raises `ValueError`.

    >>> seed_range("3-5"), seed_range("7")
    (range(3, 6), range(7, 8))
    """
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)
