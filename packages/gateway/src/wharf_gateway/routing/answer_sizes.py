"""Sizes of the answers of each route."""

__all__ = ["AnswerSizes"]

# A large answer among small ones is expected again for about 16 requests.
DECAY = 1 / 16


class AnswerSizes:
    """Estimate the size of a route's next answer by its largest recent ones."""

    def __init__(self):
        self._size_by_route = {}

    def expected(self, route):
        """Return the bytes that the body of the next answer may have."""
        return int(self._size_by_route.get(route, 0))

    def record(self, route, size):
        """Record the bytes of an answer's body."""
        known = self._size_by_route.get(route, 0)
        self._size_by_route[route] = max(size, known + DECAY * (size - known))

    def retain(self, routes):
        """Forget all other routes."""
        for route in self._size_by_route.keys() - routes:
            del self._size_by_route[route]
