"""The order in which pieces run."""

from dataclasses import dataclass, field

from wharf_gateway.stages.piece_job import PieceJob

__all__ = ["PieceQueue"]

# Results of at most this fraction of one that waits for space may be made before it.
SMALL_RESULT_FRACTION = 1 / 64
# Seconds by which one level of priority shifts the deadline in the order: a tie-break
# only. From 0.2 s on, the least urgent requests starve when their chain of services
# lacks space for results.
PRIORITY_SECONDS = 0.02


@dataclass(slots=True)
class PieceQueue:
    """Pieces for one pool of upstreams that haven't been sent yet."""

    jobs: list[PieceJob] = field(default_factory=list)

    def __len__(self):
        return len(self.jobs)

    def push(self, job):
        """Add a piece."""
        self.jobs.append(job)

    def pop_batch(self, size, free_bytes, call_seconds, now, may_run=lambda job: True):
        """Remove and return the pieces that run next, at most `size`.

        Started steps go first. Then come the pieces that can still be on time, by
        soft deadline, and then the others, by hard deadline. A step starts only if
        the batch is empty or the results of all its pieces fit into `free_bytes`,
        since half-finished steps that wait for space would block each other. While a
        piece waits for space, only pieces with results that are negligible beside its
        own may run before it. Steps are left out if `may_run(job)` is false for their
        first piece.
        """
        batch, free, largest = [], free_bytes, float("inf")
        for group in self._groups(call_seconds, now, may_run):
            if len(batch) == size:
                break
            needed = sum(job.result_bytes for job in group)
            first = group[0]
            if batch and not _may_share_call(group, batch):
                continue
            if first.result_bytes > largest:
                continue
            if first.result_bytes > free or not (
                first.group.is_started or needed <= free or not batch
            ):
                largest = first.result_bytes * SMALL_RESULT_FRACTION
                continue
            for job in group:
                if len(batch) < size and job.result_bytes <= free:
                    batch.append(job)
                    job.group.is_started = True
                free -= job.result_bytes
        removed = set(map(id, batch))
        self.jobs = [job for job in self.jobs if id(job) not in removed]
        return batch

    def _groups(self, call_seconds, now, may_run):
        by_group = {}
        for job in self.jobs:
            if not job.is_done:
                by_group.setdefault(id(job.group), []).append(job)
        return sorted(
            (jobs for jobs in by_group.values() if may_run(jobs[0])),
            key=lambda jobs: (
                not jobs[0].group.is_started,
                _rank(jobs[0], call_seconds, now),
            ),
        )

    def remove_expired(self, call_seconds, now):
        """Remove finished pieces and those too late to be of use; return the latter."""
        limit = now + call_seconds
        waiting = [job for job in self.jobs if not job.is_done]
        late = [job for job in waiting if job.hard_deadline <= limit]
        if late:
            waiting = [job for job in waiting if job.hard_deadline > limit]
        self.jobs = waiting
        return late


def _may_share_call(group, batch):
    """Return whether a step's pieces may join a batch.

    A request whose calls were lost repeatedly may be the cause, and would take all
    others of the call with it once more.
    """
    if group[0].piece.call_id == batch[0].piece.call_id:
        return True
    return not any(job.is_suspect for job in (*group, *batch))


def _rank(job, call_seconds, now):
    is_late = now + call_seconds + job.seconds > job.soft_deadline
    limit = job.hard_deadline if is_late else job.soft_deadline
    return (is_late, limit + job.priority * PRIORITY_SECONDS)
