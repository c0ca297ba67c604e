"""Stand-in of a model engine that some requests crash."""

from dataclasses import dataclass, field

from wharf_standins.engine import Engine

__all__ = ["CRASHING_TEXT", "CrashingEngine"]

CRASHING_TEXT = "crash this engine"


@dataclass
class CrashingEngine(Engine):
    """Cut every connection and start anew when a body holds `CRASHING_TEXT`."""

    crashes: int = 0
    _transports: set = field(default_factory=set)

    def crash(self):
        """Die with all that is in flight and come back as a new incarnation."""
        self.crashes += 1
        self.incarnation += 1
        for transport in tuple(self._transports):
            transport.abort()

    async def _run(self, http):
        transport = http.transport
        self._transports.add(transport)
        try:
            if CRASHING_TEXT in await http.text():
                self.crash()
            return await super()._run(http)
        finally:
            self._transports.discard(transport)
