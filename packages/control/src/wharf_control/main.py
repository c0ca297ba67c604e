"""Command line of wharfctl."""

import sys

import defopt

from wharf_control.data_centre_commands import bring_back, take_out
from wharf_control.explain_command import explain
from wharf_control.folder_commands import apply, check, show
from wharf_control.rollout_commands import ROLLOUT_COMMANDS
from wharf_control.state_commands import dump, status

__all__ = ["COMMANDS", "main"]

COMMANDS = {
    "check": check,
    "apply": apply,
    "show": show,
    "take-out": take_out,
    "bring-back": bring_back,
    "rollout": ROLLOUT_COMMANDS,
    "status": status,
    "dump": dump,
    "explain": explain,
}


def main():
    """Run the command given by the arguments; exit with its code."""
    sys.exit(defopt.run(COMMANDS, no_negated_flags=True))
