"""An emulator of upstreams that run steps in batches, and load for it."""

from wharf_standins.steps.command import step_trial

__all__ = ["step_trial"]
