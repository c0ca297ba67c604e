"""The steps that one request needs before its engine can run it."""

from dataclasses import dataclass

from wharf_gateway.model.step import Step

__all__ = ["Preparation"]


@dataclass(frozen=True, slots=True)
class Preparation:
    """Steps, the number of pieces of each, and the times that bind them.

    `soft_deadline` is the loop's time by which the results must be there for an
    answer that is on time, `hard_deadline` that after which they are of no use. A
    lower `priority` is more urgent. `preferred_data_centre` is that of the engine.
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
        """Return the indices of the steps that no other step needs."""
        needed = {index for step in self.steps for index in step.after}
        return [index for index in range(len(self.steps)) if index not in needed]
