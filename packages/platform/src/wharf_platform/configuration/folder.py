"""Merged contents of the operators' folder of configuration files."""

from collections import Counter
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

from wharf_platform.configuration.customer import Customer
from wharf_platform.configuration.data_centre import DataCentre
from wharf_platform.configuration.entry_host import EntryHost
from wharf_platform.configuration.invalid_references_error import (
    InvalidReferencesError,
    ReferenceFault,
)
from wharf_platform.configuration.pipeline import Pipeline
from wharf_platform.configuration.pool import Pool
from wharf_platform.configuration.upstream import Upstream

__all__ = ["Folder"]

Key = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$")]


class Folder(BaseModel):
    """Everything that operators declare in files, with references validated."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    data_centres: dict[Key, DataCentre] = Field(default_factory=dict)
    customers: dict[Key, Customer] = Field(default_factory=dict)
    pools: dict[Key, Pool] = Field(default_factory=dict)
    entries: dict[Key, EntryHost] = Field(default_factory=dict)
    upstreams: dict[Key, Upstream] = Field(default_factory=dict)
    pipelines: dict[Key, Pipeline] = Field(default_factory=dict)

    @model_validator(mode="after")
    def _validate_references(self):
        errors = [*self._upstream_errors(), *self._pipeline_errors()]
        if errors:
            raise InvalidReferencesError(errors)
        return self

    def _upstream_errors(self):
        for name, upstream in self.upstreams.items():
            prefix = ("upstreams", name)
            if upstream.pool not in self.pools:
                expected = f"unknown pool {upstream.pool!r}"
                yield ReferenceFault((*prefix, "pool"), expected)
            if upstream.data_centre not in self.data_centres:
                expected = f"unknown data centre {upstream.data_centre!r}"
                yield ReferenceFault((*prefix, "data_centre"), expected)
            if upstream.cold_limit > upstream.max_limit:
                expected = f"{upstream.cold_limit} exceeds max_limit"
                yield ReferenceFault((*prefix, "cold_limit"), expected)
        yield from self._address_errors()

    def _address_errors(self):
        name_by_address = {}
        for name, upstream in self.upstreams.items():
            first = name_by_address.setdefault(upstream.address, name)
            if first != name:
                expected = f"{upstream.address} is already the address of {first!r}"
                yield ReferenceFault(("upstreams", name, "address"), expected)

    def _pipeline_errors(self):
        for name, pipeline in self.pipelines.items():
            prefix = ("pipelines", name)
            counts = Counter(stage.name for stage in pipeline.stages)
            for stage, count in counts.items():
                if count > 1:
                    expected = f"stage name {stage!r} is used {count} times"
                    yield ReferenceFault((*prefix, "stages"), expected)
            for index, stage in enumerate(pipeline.stages):
                if stage.pool not in self.pools:
                    path = (*prefix, "stages", index, "pool")
                    yield ReferenceFault(path, f"unknown pool {stage.pool!r}")
            if pipeline.default_deadline > pipeline.max_deadline:
                path = (*prefix, "default_deadline")
                yield ReferenceFault(path, "exceeds max_deadline")
