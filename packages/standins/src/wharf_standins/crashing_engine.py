"""Stand-in of a model engine that crashes on certain requests."""

from dataclasses import dataclass

from wharf_standins.engine import Engine

__all__ = ["CRASHING_TEXT", "CrashingEngine"]

CRASHING_TEXT = "crash this engine"


@dataclass
class CrashingEngine(Engine):
    """Crash and restart at once when a body contains `CRASHING_TEXT`."""

    crashes: int = 0

    async def _run(self, http):
        if CRASHING_TEXT in await http.text():
            self.crashes += 1
            self.crash()
            self.restart()
        return await super()._run(http)
