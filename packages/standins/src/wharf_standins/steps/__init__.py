"""Load trials of the preparation of requests on emulated upstreams."""

from wharf_standins.steps.command import step_trial

__all__ = ["step_trial"]
