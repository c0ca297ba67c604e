"""Choice of the version that runs a call."""

__all__ = ["VersionRouter"]


class VersionRouter:
    """Split a pool's calls between the versions of its rollout.

    The configured version is used if the pool has no rollout, or if operators have
    changed that version since the rollout started.
    """

    def __init__(self, feed, rollouts, links):
        self._feed = feed
        self._rollouts = rollouts
        self._links = links

    def version_for(self, task, now, excluded=frozenset()):
        """Return the version for the call of `task` at the time `now`.

        The new version gets no calls while none of its upstreams outside `excluded`
        is available or, until the rollout has finished, while all of them are full:
        the old version has capacity for calls that a cold upstream can't take.
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
            candidates = [
                candidate for candidate in candidates if candidate.has_capacity
            ]
        return version if candidates else declared
