"""A straight line through measured points."""

from dataclasses import dataclass
from statistics import linear_regression

__all__ = ["MIN_POINTS", "Slope"]

MIN_POINTS = 4


@dataclass(frozen=True, slots=True)
class Slope:
    """The cost of one more unit of a driver, and the fit of the line.

    `slope` is in `unit` per `driver`, `base` is the value in `unit` without any.
    `residual` is the largest distance of a point from the line, as a share of the
    largest value.
    """

    name: str
    driver: str
    unit: str
    points: tuple[tuple[float, float], ...]
    slope: float
    base: float
    residual: float

    @classmethod
    def fit(cls, name, driver, unit, points):
        """Return the least-squares line through at least four `points`.

        >>> line = Slope.fit("cpu", "link", "ms", [(1, 3), (2, 5), (3, 7), (4, 9)])
        >>> line.slope, line.base, line.residual
        (2.0, 1.0, 0.0)
        """
        if len(points) < MIN_POINTS:
            raise ValueError(f"{len(points)} points, expected at least {MIN_POINTS}")
        slope, base = linear_regression(*zip(*points, strict=True))
        largest = max(abs(value) for _, value in points)
        distance = max(abs(base + slope * x - value) for x, value in points)
        residual = distance / largest if largest else 0.0
        return cls(name, driver, unit, tuple(points), slope, base, residual)

    def at(self, amount):
        """Return the value of the line at `amount` of the driver."""
        return self.base + self.slope * amount
