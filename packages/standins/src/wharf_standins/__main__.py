"""The command line of the stand-ins."""

import sys

import defopt

from wharf_standins.bench import bench
from wharf_standins.claims_bench import claims_bench
from wharf_standins.claims_trial.command import claims_trial
from wharf_standins.demo import demo
from wharf_standins.history.command import histories
from wharf_standins.outage_trial import outage_trial
from wharf_standins.overhead_bench import bench_overhead
from wharf_standins.promise.command import search_promise
from wharf_standins.propagation.command import propagation
from wharf_standins.rollout_trial.command import trial_rollouts
from wharf_standins.rollout_trial.daemon_command import trial_daemons
from wharf_standins.rollout_trial.judge_command import trial_judge
from wharf_standins.serve import engine, platform
from wharf_standins.slopes.command import slopes
from wharf_standins.slopes.idle_entry import idle_entry
from wharf_standins.slopes.peers import ask_streams, serve_upstreams
from wharf_standins.slopes.profile_relay import profile_relay
from wharf_standins.soak import soak
from wharf_standins.steps import step_trial

__all__ = []

if __name__ == "__main__":
    commands = [
        *(demo, engine, platform),
        *(bench, bench_overhead, claims_bench, claims_trial, outage_trial),
        *(histories, propagation, trial_daemons, trial_rollouts, step_trial),
        *(trial_judge, search_promise),
        soak,
        *(slopes, profile_relay, idle_entry, ask_streams, serve_upstreams),
    ]
    sys.exit(defopt.run(commands, no_negated_flags=True))
