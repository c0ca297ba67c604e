"""The command line of the stand-ins."""

import sys

import defopt

from wharf_standins.demo import demo
from wharf_standins.history.command import histories
from wharf_standins.rollout_trial.command import trial_rollouts
from wharf_standins.serve import engine, platform
from wharf_standins.slopes.command import slopes
from wharf_standins.slopes.idle_entry import idle_entry
from wharf_standins.slopes.peers import ask_streams, serve_upstreams
from wharf_standins.slopes.profile_relay import profile_relay

__all__ = []

if __name__ == "__main__":
    commands = [
        *(demo, engine, platform, trial_rollouts, histories),
        *(slopes, profile_relay, idle_entry, ask_streams, serve_upstreams),
    ]
    sys.exit(defopt.run(commands, no_negated_flags=True))
