"""Emulated stages that record each run."""

import asyncio
from collections import defaultdict

from result import Err, Ok

from wharf_coordination import Code, Refusal

__all__ = ["TrialStages"]


class TrialStages:
    """Run the stages of one entry; runs of all entries are in `ids_by_key`.

    `ends` are chosen at random: "answer", "not run" or "unknown". A run takes up to
    `seconds`; `padding` is appended to its answer.
    """

    ids_by_key: dict[str, list[str]]

    def __init__(self, process, ids_by_key=None, ends=("answer",)):
        self.ids_by_key = defaultdict(list) if ids_by_key is None else ids_by_key
        self.ends = ends
        self.seconds = 0.1
        self.padding = b""
        self._process = process

    async def run(self, task):
        """Return the answer, or a refusal."""
        await self._process.resumed()
        end = self._process.rng.choice(self.ends)
        if end == "not run":
            return Err(Refusal.not_run(Code.UPSTREAM_FULL))
        self.ids_by_key[task.request.key].append(task.request.id)
        await asyncio.sleep(self.seconds * self._process.rng.random())
        await self._process.resumed()
        if end == "unknown":
            return Err(Refusal.unknown(Code.LINK_LOST))
        return Ok(f"answer {task.request.id}".encode() + self.padding)
