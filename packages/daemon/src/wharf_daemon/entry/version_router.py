"""Choice of the version that a call of a pool goes to."""

__all__ = ["VersionRouter"]


class VersionRouter:
    """Send each call to the version that the configuration names."""

    def __init__(self, feed):
        self._feed = feed

    def version_for(self, task, now):
        """Return the version for the call of `task` at the time `now`."""
        return self._feed.document.folder.pools[task.stage.pool].version
