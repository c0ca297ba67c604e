"""The order in which pieces run."""

from dataclasses import dataclass, field

from wharf_gateway.stages.piece_job import PieceJob

__all__ = ["PieceQueue"]


@dataclass(slots=True)
class PieceQueue:
    """Pieces of one pool of upstreams, not yet sent."""

    jobs: list[PieceJob] = field(default_factory=list)

    def __len__(self):
        return len(self.jobs)

    def push(self, job, now):
        """Let a piece wait."""
        job.queued_at = now
        self.jobs.append(job)

    def take(self, size, room_bytes, call_seconds, now):
        """Return the pieces that run next, at most `size`, and forget them.

        Pieces that can still be on time go first, by priority and then by the time
        at which they must end; the others follow by the time until which they are
        of use. A piece whose result doesn't fit into `room_bytes` waits.
        """
        ordered = sorted(self.jobs, key=lambda job: _rank(job, call_seconds, now))
        batch, free = [], room_bytes
        for job in ordered:
            if len(batch) == size:
                break
            if job.result_bytes <= free:
                batch.append(job)
                free -= job.result_bytes
        taken = set(map(id, batch))
        self.jobs = [job for job in self.jobs if id(job) not in taken]
        return batch

    def drop_useless(self, now):
        """Forget pieces that are over and return those whose time has passed."""
        late = [job for job in self.jobs if not job.is_over and job.useful_until <= now]
        self.jobs = [
            job for job in self.jobs if not job.is_over and job.useful_until > now
        ]
        return late


def _rank(job, call_seconds, now):
    is_late = now + call_seconds + job.seconds > job.on_time_by
    limit = job.useful_until if is_late else job.on_time_by
    return (is_late, job.priority, limit)
