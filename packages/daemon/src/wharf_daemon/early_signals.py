"""Signals that come before a daemon serves anything."""

import os
import signal

__all__ = ["handle_early_signals"]


def handle_early_signals():
    """Ignore a signal to reload, and end the process at once at one to stop.

    The handlers hold until the daemon sets its own, which it does once its modules are
    loaded.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: os._exit(0))
