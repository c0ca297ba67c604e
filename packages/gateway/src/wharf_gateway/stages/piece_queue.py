"""The order in which pieces run."""

from dataclasses import dataclass, field

from wharf_gateway.stages.piece_job import PieceJob

__all__ = ["PieceQueue"]

# Results of up to this share of one that waits for room may pass it.
SMALL_SHARE = 1 / 64
# An urgent request goes before one that is less urgent by one and due this much
# sooner, in seconds: a tie-break. From 0.2 s on the least urgent kind starves when
# its chain of services is short of room.
PRIORITY_SECONDS = 0.02


@dataclass(slots=True)
class PieceQueue:
    """Pieces of one pool of upstreams, not yet sent."""

    jobs: list[PieceJob] = field(default_factory=list)

    def __len__(self):
        return len(self.jobs)

    def push(self, job):
        """Let a piece wait."""
        self.jobs.append(job)

    def take(self, size, room_bytes, call_seconds, now, may_run=lambda job: True):
        """Return the pieces that run next, at most `size`, and forget them.

        Steps that are begun go first. Then pieces that can still be on time, by the
        time at which they must end; the others follow by the time until which they
        are of use. A step begins only where the results of all of its pieces have
        room, since steps that are half done and wait for room hold it from each
        other. What waits for room isn't passed, save by results so small that they
        don't matter. Steps whose first piece `may_run(job)` forbids are left out.
        """
        batch, free, largest = [], room_bytes, float("inf")
        for group in self._groups(call_seconds, now, may_run):
            if len(batch) == size:
                break
            needed = sum(job.result_bytes for job in group)
            first = group[0]
            if first.result_bytes > largest:
                continue
            if first.result_bytes > free or not (
                first.group.is_begun or needed <= free or not batch
            ):
                largest = first.result_bytes * SMALL_SHARE
                continue
            for job in group:
                if len(batch) < size and job.result_bytes <= free:
                    batch.append(job)
                    job.group.is_begun = True
                free -= job.result_bytes
        taken = set(map(id, batch))
        self.jobs = [job for job in self.jobs if id(job) not in taken]
        return batch

    def _groups(self, call_seconds, now, may_run):
        by_group = {}
        for job in self.jobs:
            if not job.is_over:
                by_group.setdefault(id(job.group), []).append(job)
        return sorted(
            (jobs for jobs in by_group.values() if may_run(jobs[0])),
            key=lambda jobs: (
                not jobs[0].group.is_begun,
                _rank(jobs[0], call_seconds, now),
            ),
        )

    def drop_useless(self, call_seconds, now):
        """Forget pieces that are over and return those whose time has passed."""
        limit = now + call_seconds
        waiting = [job for job in self.jobs if not job.is_over]
        late = [job for job in waiting if job.hard_deadline <= limit]
        if late:
            waiting = [job for job in waiting if job.hard_deadline > limit]
        self.jobs = waiting
        return late


def _rank(job, call_seconds, now):
    is_late = now + call_seconds + job.seconds > job.soft_deadline
    limit = job.hard_deadline if is_late else job.soft_deadline
    return (is_late, limit + job.priority * PRIORITY_SECONDS)
