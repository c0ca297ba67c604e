"""The steps that must run before a request can go to its engine."""

from dataclasses import dataclass

from wharf_gateway.model.step import Step

__all__ = ["Preparation"]


@dataclass(frozen=True, slots=True)
class Preparation:
    """Steps, the number of pieces of each, and their deadlines.

    `soft_deadline` is the loop's time by which the results must be ready for the
    request to be on time, `hard_deadline` that after which they are useless. A lower
    `priority` is more urgent. `key` identifies the source of the first steps.
    `preferred_data_centre` is that of the engine.
    """

    call_id: str
    steps: tuple[Step, ...]
    pieces: tuple[int, ...]
    key: str
    priority: int
    soft_deadline: float
    hard_deadline: float
    preferred_data_centre: str = ""

    @property
    def final_steps(self):
        """Return the indices of the steps that no other step depends on."""
        needed = {index for step in self.steps for index in step.after}
        return [index for index in range(len(self.steps)) if index not in needed]
