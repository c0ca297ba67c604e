"""A system like the Exchange's: three data centres, five services."""

from wharf_standins.loopback import Loopback

__all__ = [
    "BAD_VERSION",
    "CUSTOMERS",
    "DATA_CENTRES",
    "GOOD_VERSION",
    "exchange",
    "slow_when_cold",
]

DATA_CENTRES = ("windhoek", "okahandja", "rehoboth")
CUSTOMERS = ("kavango", "namib", "swakop", "tsumeb", "zambezi")
BAD_VERSION = "2"
GOOD_VERSION = "3"
RUNNERS = 6
NEW_RUNNERS = 3
COLD_BEARABLE = 2
COLD_FACTOR = 3.0
WARM_AFTER_RUNS = 10


def exchange():
    """Return the system, which has upstreams of one old and two new versions."""
    three = DATA_CENTRES
    shape = {
        "encode": three,
        "retrieve": three,
        "rerank": three,
        "hold": three,
        "model": three * ((RUNNERS + 2 * NEW_RUNNERS) // len(three)),
    }
    return Loopback(
        shape,
        _pipelines(),
        entries=2,
        customers=CUSTOMERS,
        versions=dict(_new_versions()),
        services=("hold",),
        cold_bearable=COLD_BEARABLE,
    )


def slow_when_cold(system):
    """Make cold upstreams respond more slowly, so that their cold start is visible."""
    for engine in system.engine_by_name.values():
        engine.batch.cold_factor = COLD_FACTOR
        engine.batch.warm_after = WARM_AFTER_RUNS


def _pipelines():
    stages = ("encode", "retrieve", "rerank")
    steps = [{"name": stage, "pool": stage} for stage in stages]
    generate = {"name": "generate", "pool": "model"}
    hold = {"name": "hold", "pool": "hold", "idempotent": False}
    return {
        "report": {"stages": [*steps, generate], "priority": "patient"},
        "question": {"stages": [generate], "priority": "interactive"},
        "hold": {"stages": [hold], "priority": "urgent"},
    }


def _new_versions():
    for number in range(NEW_RUNNERS):
        yield f"model-{RUNNERS + number}", BAD_VERSION
        yield f"model-{RUNNERS + NEW_RUNNERS + number}", GOOD_VERSION
