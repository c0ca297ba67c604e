"""Signals of a process, handled from before its modules are loaded until its end."""

import os
import signal

__all__ = ["ProcessSignals"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ProcessSignals:
    """Handle the signals to stop and to reload, as soon as this is created.

    Until `connect` is called nothing is served: a signal to stop ends the process at
    once with status 0, one to reload is ignored. After `disconnect` both are ignored.
    The handlers of an event loop wouldn't do: they are unset as the loop closes, when
    the last lines of the log aren't written yet.
    """

    def __init__(self):
        self._loop = None
        self._on_stop = lambda: os._exit(0)
        self._on_reload = lambda: None
        for number in STOP_SIGNALS:
            signal.signal(number, lambda *_: self._on_stop())
        signal.signal(signal.SIGHUP, lambda *_: self._on_reload())

    def connect(self, loop, on_stop, on_reload):
        """Call a function in a step of the event loop for each signal from now on."""
        self._on_stop = lambda: loop.call_soon_threadsafe(on_stop)
        self._on_reload = lambda: loop.call_soon_threadsafe(on_reload)

    def disconnect(self):
        """Ignore signals from now on, as the process ends."""
        self._on_stop = self._on_reload = lambda: None
