"""Choice of the version that a call of a pool goes to."""

__all__ = ["VersionRouter"]


class VersionRouter:
    """Split a pool's calls by the share of its rollout.

    Without a rollout, or once operators have declared another version than the
    one that the rollout began with, the configuration's version is used.
    """

    def __init__(self, feed, rollouts, links):
        self._feed = feed
        self._rollouts = rollouts
        self._links = links

    def version_for(self, task, now, excluded=frozenset()):
        """Return the version for the call of `task` at the time `now`.

        A new version gets no call while none of its upstreams outside `excluded`
        is open. Until the rollout has finished, neither while all of them are full:
        the old version has room for a call that a cold upstream can't bear.
        """
        pool = task.stage.pool
        document = self._feed.document
        declared = document.folder.pools[pool].version
        participant = self._rollouts.by_pool.get(pool)
        if participant is None or participant.rollout.old_version != declared:
            return declared
        version = participant.version_for(task.request.id, now)
        if version == declared:
            return declared
        candidates = self._links.candidates(document, pool, version, excluded)
        if participant.rollout.is_running:
            candidates = [one for one in candidates if one.has_capacity]
        return version if candidates else declared
