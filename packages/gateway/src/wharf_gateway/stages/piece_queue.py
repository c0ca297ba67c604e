"""The order in which pieces run."""

from dataclasses import dataclass, field

from wharf_gateway.stages.piece_job import PieceJob

__all__ = ["PieceQueue"]

# Results of up to this share of one that waits for room may pass it.
SMALL_SHARE = 1 / 64


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
        of use. A piece whose result doesn't fit into `room_bytes` waits, and no other
        takes the room meanwhile, save for results so small that they don't matter.
        """
        ordered = sorted(self.jobs, key=lambda job: _rank(job, call_seconds, now))
        batch, free, largest = [], room_bytes, float("inf")
        for job in ordered:
            if len(batch) == size:
                break
            if job.result_bytes <= min(free, largest):
                batch.append(job)
                free -= job.result_bytes
            else:
                largest = min(largest, job.result_bytes * SMALL_SHARE)
        taken = set(map(id, batch))
        self.jobs = [job for job in self.jobs if id(job) not in taken]
        return batch

    def drop_useless(self, call_seconds, now):
        """Forget pieces that are over and return those whose time has passed."""
        waiting = [job for job in self.jobs if not job.is_over]
        late = [job for job in waiting if job.useful_until <= now + call_seconds]
        self.jobs = [job for job in waiting if job.useful_until > now + call_seconds]
        return late


def _rank(job, call_seconds, now):
    is_late = now + call_seconds + job.seconds > job.on_time_by
    limit = job.useful_until if is_late else job.on_time_by
    return (is_late, job.priority, limit)
