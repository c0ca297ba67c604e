"""One websocket between two gateways."""

import asyncio
from itertools import count

import structlog
from result import Err, Ok

from wharf_gateway.peers.codec import decode, encode
from wharf_gateway.peers.messages import (
    Abandon,
    Free,
    Greeting,
    LoadNotice,
    Prepare,
    Prepared,
    Refused,
    TrialNotice,
    TrialSample,
)
from wharf_gateway.stages.preparation import Preparation
from wharf_gateway.stages.unprepared import Unprepared

__all__ = ["PeerLink"]

log = structlog.get_logger(__name__)

# A peer that hasn't been heard for five load notices is not asked any more.
SILENCE_SECONDS = 0.5
REMEMBERED = 10_000  # preparations whose late results can still be dropped
OUTBOX_MESSAGES = 2000  # a peer that doesn't read loses its link


class PeerLink:
    """Ask a peer to prepare, prepare for it, and tell each other of rollouts.

    `preparers` offers `preparer(pool)`, `rollouts` `take_notice` and `take_sample`.
    """

    def __init__(self, socket, preparers, rollouts, clock, *, is_own_dial=False):
        self._socket = socket
        self._preparers = preparers
        self._rollouts = rollouts
        self._clock = clock
        self._numbers = count()
        self._future_by_number = {}
        self._pool_by_number = {}
        self._task_by_number = {}
        self._outbox = asyncio.Queue(OUTBOX_MESSAGES)
        self.name = None
        self.data_centre = None
        self.is_ready = False
        self.backlog_by_pool = {}
        self.last_received_at = float("-inf")
        self.ended = asyncio.Event()
        self.is_own_dial = is_own_dial

    async def run(self, greeting, on_greeting):
        """Exchange messages until the link ends."""
        sender = asyncio.create_task(self._send_all())
        self.post(greeting)
        try:
            async for frame in self._socket:
                self.last_received_at = self._clock()
                match decode(frame):
                    case Err(fault):
                        log.warning("peer_message_bad", peer=self.name, fault=fault)
                        return
                    case Ok(Greeting() as other):
                        self.name, self.data_centre = other.name, other.data_centre
                        on_greeting(self)
                    case Ok(message):
                        self._handle(message)
        finally:
            sender.cancel()
            self._end()

    @property
    def is_closed(self):
        """Return whether the link has ended."""
        return self.ended.is_set()

    def is_heard(self, now):
        """Return whether the peer was heard lately."""
        return not self.is_closed and now - self.last_received_at < SILENCE_SECONDS

    def is_alive(self, now):
        """Return whether the peer was heard lately and takes work."""
        return self.is_ready and self.is_heard(now)

    def close(self):
        """End the link at once."""
        self._socket.transport.abort()

    def post(self, message):
        """Send a message when the ones before have gone."""
        try:
            self._outbox.put_nowait(encode(message))
        except asyncio.QueueFull:
            log.warning("peer_outbox_full", peer=self.name)
            self.close()

    async def prepare(self, preparation, pool):
        """Return the handles that the peer got, or why there are none."""
        number = next(self._numbers)
        self._pool_by_number[number] = pool
        self._pool_by_number.pop(number - REMEMBERED, None)
        future = asyncio.get_running_loop().create_future()
        self._future_by_number[number] = future
        now = self._clock()
        self.post(
            Prepare(
                number,
                pool,
                preparation.call_id,
                preparation.steps,
                preparation.pieces,
                preparation.key,
                preparation.priority,
                preparation.on_time_by - now,
                preparation.useful_until - now,
                preparation.near,
            )
        )
        try:
            return await future
        except asyncio.CancelledError:
            self.post(Abandon(number))
            raise
        finally:
            self._future_by_number.pop(number, None)

    def fail_if_silent(self):
        """End what was asked of a peer that isn't heard; return whether that is so.

        One that only takes nothing new, since it stops, finishes what it has.
        """
        if self.is_heard(self._clock()):
            return False
        for number in self._future_by_number:
            self.post(Abandon(number))
        self.fail_pending("peer silent")
        return True

    def fail_pending(self, reason):
        """End what the peer was asked for, so that it is asked for elsewhere."""
        for future in list(self._future_by_number.values()):
            if not future.done():
                future.set_result(Err(Unprepared(reason)))

    def _handle(self, message):
        match message:
            case LoadNotice(ready, backlogs):
                self.is_ready = ready
                self.backlog_by_pool = backlogs
            case Prepare():
                task = asyncio.create_task(self._prepare(message))
                self._task_by_number[message.number] = task
                task.add_done_callback(
                    lambda _: self._task_by_number.pop(message.number, None)
                )
            case Prepared(number, handles):
                if not self._resolve(number, Ok(list(handles))):
                    self.post(Free(self._pool_by_number.get(number, ""), handles))
            case Refused(number, reason, retry_after):
                self._resolve(number, Err(Unprepared(reason, retry_after)))
            case Abandon(number):
                task = self._task_by_number.get(number)
                if task:
                    task.cancel()
            case Free(pool, handles):
                self._preparers.preparer(pool).free(handles)
            case TrialNotice():
                self._rollouts.take_notice(message, self._clock())
            case TrialSample():
                self._rollouts.take_sample(message, self._clock())

    def _resolve(self, number, answer):
        """Hand over an answer; return whether somebody waits for it."""
        future = self._future_by_number.get(number)
        if future is None or future.done():
            return False
        future.set_result(answer)
        return True

    async def _prepare(self, message):
        now = self._clock()
        preparation = Preparation(
            message.call_id,
            message.steps,
            message.pieces,
            message.key,
            message.priority,
            now + message.on_time_seconds,
            now + message.useful_seconds,
            message.near,
        )
        answer = await self._preparers.preparer(message.pool).run(preparation)
        match answer:
            case Ok(handles):
                self.post(Prepared(message.number, tuple(handles)))
            case Err(refusal):
                self.post(Refused(message.number, refusal.reason, refusal.retry_after))

    async def _send_all(self):
        while True:
            await self._socket.send(await self._outbox.get())

    def _end(self):
        self.is_ready = False
        self.ended.set()
        self.fail_pending("link lost")
        for task in list(self._task_by_number.values()):
            task.cancel()
