"""Folders of a given size, in the proportions of the target size."""

from wharf_platform.configuration import Document, Folder

__all__ = ["sample_document"]

DATA_CENTRES = 13
CUSTOMERS = 210
PIPELINES = 32
STAGES = 5
POOLS = 22


def sample_document(upstreams) -> Document:
    """Return a document with `upstreams` spread over pools and data centres."""
    folder = {
        "data_centres": {f"dc-{n}": {"region": f"r-{n % 6}"} for n in range(13)},
        "customers": {f"customer-{n}": {"weight": 1.0} for n in range(CUSTOMERS)},
        "pools": {f"pool-{n}": {} for n in range(POOLS)},
        "upstreams": {f"upstream-{n}": _upstream(n) for n in range(upstreams)},
        "pipelines": {f"pipeline-{n}": _pipeline(n) for n in range(PIPELINES)},
    }
    return Document(revision=1, folder=Folder.model_validate(folder))


def _upstream(number):
    return {
        "pool": f"pool-{number % POOLS}",
        "data_centre": f"dc-{number % DATA_CENTRES}",
        "address": f"10.0.{number // 250}.{number % 250}:7000",
    }


def _pipeline(number):
    pools = [f"pool-{(number + step) % POOLS}" for step in range(STAGES)]
    return {"stages": [{"name": f"stage-{pool}", "pool": pool} for pool in pools]}
