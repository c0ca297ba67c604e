"""The operators' folder of configuration files, merged and validated."""

from collections import Counter
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

from wharf_platform.configuration.customer import Customer
from wharf_platform.configuration.data_centre import DataCentre
from wharf_platform.configuration.entry_host import EntryHost
from wharf_platform.configuration.pipeline import Pipeline
from wharf_platform.configuration.pool import Pool
from wharf_platform.configuration.upstream import Upstream

__all__ = ["Folder"]

Key = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$")]


class Folder(BaseModel):
    """All that operators declare in files, with every reference checked."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    data_centres: dict[Key, DataCentre] = Field(default_factory=dict)
    customers: dict[Key, Customer] = Field(default_factory=dict)
    pools: dict[Key, Pool] = Field(default_factory=dict)
    entries: dict[Key, EntryHost] = Field(default_factory=dict)
    upstreams: dict[Key, Upstream] = Field(default_factory=dict)
    pipelines: dict[Key, Pipeline] = Field(default_factory=dict)

    @model_validator(mode="after")
    def _check_references(self):
        faults = [*self._upstream_faults(), *self._pipeline_faults()]
        if faults:
            raise ValueError("; ".join(faults))
        return self

    def _upstream_faults(self):
        for name, upstream in self.upstreams.items():
            place = f"upstreams.{name}"
            if upstream.pool not in self.pools:
                yield f"{place}.pool: unknown pool {upstream.pool!r}"
            if upstream.data_centre not in self.data_centres:
                data_centre = upstream.data_centre
                yield f"{place}.data_centre: unknown data centre {data_centre!r}"
            if upstream.cold_limit > upstream.max_limit:
                yield f"{place}.cold_limit: {upstream.cold_limit} exceeds max_limit"

    def _pipeline_faults(self):
        for name, pipeline in self.pipelines.items():
            counts = Counter(stage.name for stage in pipeline.stages)
            for stage, count in counts.items():
                if count > 1:
                    yield f"pipelines.{name}.stages: {stage!r} stands {count} times"
            for stage in pipeline.stages:
                if stage.pool not in self.pools:
                    yield f"pipelines.{name}.stages: unknown pool {stage.pool!r}"
            if pipeline.default_deadline > pipeline.max_deadline:
                yield f"pipelines.{name}.default_deadline: exceeds max_deadline"
