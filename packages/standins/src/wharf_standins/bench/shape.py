"""Sizes of the system under test."""

from dataclasses import dataclass

from wharf_standins.bench.request_class import REQUEST_CLASSES

__all__ = ["SHAPE_BY_NAME", "Shape"]

SERVICES = ("encode", "retrieve", "rerank", "record")
SERVICE_UPSTREAMS = 3
WIDTH = 4


@dataclass(frozen=True, slots=True)
class Shape:
    """The data centres, the number of runners, and each customer's share of load."""

    name: str
    data_centres: tuple[str, ...]
    runners: int
    share_by_customer: dict[str, float]

    def count(self, pool):
        """Return the number of upstreams of `pool`."""
        return self.runners if pool == "model" else SERVICE_UPSTREAMS

    def data_centre_by_upstream(self):
        """Return the data centre of each upstream."""
        data_centre_by_name = {}
        for offset, pool in enumerate((*SERVICES, "model")):
            for number in range(self.count(pool)):
                data_centre = self.data_centres[
                    (number + offset) % len(self.data_centres)
                ]
                data_centre_by_name[f"{pool}-{number}"] = data_centre
        return data_centre_by_name

    def capacity(self):
        """Return the requests per second that saturate the first warm pool."""
        return min(self._capacity(pool) for pool in (*SERVICES, "model"))

    def _capacity(self, pool):
        work = sum(
            kind.share * kind.work_by_stage.get(pool, 0.0) for kind in REQUEST_CLASSES
        )
        return self.count(pool) * WIDTH / work


SHAPE_BY_NAME = {
    "exchange": Shape(
        "exchange",
        ("windhoek-1", "windhoek-2", "windhoek-3"),
        6,
        {"big": 0.45, "large": 0.3, "shop": 0.1, "forge": 0.1, "school": 0.05},
    ),
    "cooperative": Shape(
        "cooperative",
        ("teifi-1", "teifi-2", "teifi-3"),
        5,
        {"board": 0.5, "agency": 0.25, "upper": 0.1, "middle": 0.1, "lower": 0.05},
    ),
}
