"""One WebSocket connection between two gateways."""

import asyncio
from itertools import count

import structlog
from result import Err, Ok

from wharf_gateway.peers.codec import decode, encode
from wharf_gateway.peers.load_news import LoadNews
from wharf_gateway.peers.messages import (
    Abandon,
    AnsweredNotice,
    ConfigurationNotice,
    ConfigurationPart,
    ConfigurationRequest,
    CrashNotice,
    DutyNotice,
    Free,
    Greeting,
    LeaseNotice,
    LimitNotice,
    LoadNotice,
    OutcomeNotice,
    Prepare,
    Prepared,
    QuarantineNotice,
    Refused,
    RolloutSample,
    ShareNotice,
    StoreNews,
)
from wharf_gateway.stages.preparation import Preparation
from wharf_gateway.stages.preparation_failure import (
    PREPARER_FAILED,
    PreparationFailure,
)

__all__ = ["PeerLink"]

log = structlog.get_logger(__name__)

# Until its first notice says otherwise, a peer that is silent for longer than this gets
# no preparations.
PEER_TIMEOUT_SECONDS = 0.5
MAX_TRACKED_PREPARATIONS = 10_000  # whose late results can still be released
MAX_QUEUED_MESSAGES = 2000  # the link to a peer that doesn't read is closed


class PeerLink:
    """Exchange preparations, their results and the state of rollouts with a peer.

    `preparers` has the method `preparer(pool)`; `rollouts` has `handle_share_notice`,
    `handle_outcomes` and `add_sample`; `feed` has `handle_news` and `handle_notice`;
    `crashes` has a `handle_` method for each notice about crashes; `limits` has
    `handle_notice`; `configurations` has `handle_notice`, `handle_request` and
    `handle_part`; `loads` has `handle`; `duties` has `handle_notice` and
    `handle_lease`, or is None. `is_outgoing` says whether this gateway opened the
    connection.
    """

    def __init__(
        self,
        socket,
        preparers,
        rollouts,
        clock,
        *,
        feed=None,
        crashes=None,
        limits=None,
        configurations=None,
        loads=None,
        duties=None,
        is_outgoing=False,
    ):
        self._socket = socket
        self._preparers = preparers
        self._rollouts = rollouts
        self._feed = feed
        self._crashes = crashes
        self._limits = limits
        self._configurations = configurations
        self._loads = loads
        self._duties = duties
        self._clock = clock
        self._numbers = count()
        self._future_by_number = {}
        self._pool_by_number = {}
        self._task_by_number = {}
        self._outbox = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self._queued = 0
        self._sent = 0
        self._transfer_end = 0
        self.name = None
        self.data_centre = None
        self.is_ready = False
        self.knows_loads = False
        self.backlog_by_pool = {}
        self.last_received_at = float("-inf")
        self._valid_seconds = PEER_TIMEOUT_SECONDS
        self.ended = asyncio.Event()
        self.is_outgoing = is_outgoing

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

    def is_responsive(self, now):
        """Return whether a message of the peer arrived recently."""
        silence = now - self.last_received_at
        return not self.is_closed and silence < self._valid_seconds

    def is_available(self, now):
        """Return whether the peer is responsive and accepts preparations."""
        return self.is_ready and self.is_responsive(now)

    def close(self):
        """Close the connection at once, without a closing handshake."""
        self._socket.transport.abort()

    def post(self, message):
        """Queue a message for sending; close the link if the queue is full."""
        self.post_frame(encode(message))

    def post_frame(self, frame):
        """Queue an encoded message for sending."""
        try:
            self._outbox.put_nowait(frame)
            self._queued += 1
        except asyncio.QueueFull:
            log.warning("peer_outbox_full", peer=self.name)
            self.close()

    def post_transfer(self, frames):
        """Queue the frames of a document for sending."""
        for frame in frames:
            self.post_frame(frame)
        self._transfer_end = self._queued

    @property
    def is_transferring(self):
        """Return whether frames of the last document are still to be sent."""
        return self._sent < self._transfer_end

    async def prepare(self, preparation, pool):
        """Let the peer run a preparation; return the handles of its results.

        If the caller is cancelled, the peer is told to cancel the preparation.
        """
        number = next(self._numbers)
        self._pool_by_number[number] = pool
        self._pool_by_number.pop(number - MAX_TRACKED_PREPARATIONS, None)
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
                preparation.soft_deadline - now,
                preparation.hard_deadline - now,
                preparation.preferred_data_centre,
            )
        )
        try:
            return await future
        except asyncio.CancelledError:
            self.post(Abandon(number))
            raise
        finally:
            self._future_by_number.pop(number, None)

    def fail_if_unresponsive(self):
        """Fail the pending preparations of an unresponsive peer.

        Return whether it is unresponsive. A peer that is stopping still sends messages
        and finishes its pending preparations.
        """
        if self.is_responsive(self._clock()):
            return False
        for number in self._future_by_number:
            self.post(Abandon(number))
        self.fail_pending("peer silent")
        return True

    def fail_pending(self, reason):
        """Fail all pending preparations, so that they are retried elsewhere."""
        for future in list(self._future_by_number.values()):
            if not future.done():
                future.set_result(Err(PreparationFailure(reason)))

    def _handle(self, message):
        match message:
            case LoadNotice(ready, backlogs, valid_seconds, revision_by_kind, era):
                self.is_ready = ready
                self.backlog_by_pool = backlogs
                self._valid_seconds = valid_seconds
                self.knows_loads = message.knows_loads
                if revision_by_kind or era is not None:
                    now = self._clock()
                    self._feed.handle_notice(self.name, era, revision_by_kind, now)
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
                self._resolve(number, Err(PreparationFailure(reason, retry_after)))
            case Abandon(number):
                task = self._task_by_number.get(number)
                if task:
                    task.cancel()
            case Free(pool, handles):
                self._preparers.preparer(pool).free(handles)
            case ShareNotice():
                self._rollouts.handle_share_notice(message, self._clock())
            case RolloutSample():
                self._rollouts.add_sample(message, self._clock())
            case StoreNews():
                self._feed.handle_news(message, self._clock())
            case CrashNotice():
                self._crashes.handle_crash(message, self._clock())
            case QuarantineNotice():
                self._crashes.handle_quarantine(message, self, self._clock())
            case LimitNotice():
                self._limits.handle_notice(message, self._clock())
            case AnsweredNotice():
                self._crashes.handle_answered(message, self._clock())
            case OutcomeNotice():
                self._rollouts.handle_outcomes(message, self._clock())
            case ConfigurationNotice():
                self._configurations.handle_notice(message, self, self._clock())
            case ConfigurationRequest():
                self._configurations.handle_request(message, self)
            case LoadNews():
                if self._loads is not None:
                    self._loads.handle(message, self._clock())
            case ConfigurationPart():
                self._configurations.handle_part(message, self, self._clock())
            case DutyNotice() if self._duties is not None:
                self._duties.handle_notice(message, self, self._clock())
            case LeaseNotice() if self._duties is not None:
                self._duties.handle_lease(message, self._clock())

    def _resolve(self, number, answer):
        """Complete a pending preparation; return whether it was still pending."""
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
        try:
            answer = await self._preparers.preparer(message.pool).run(preparation)
        except Exception:  # the peer's caller must not wait until its deadline
            log.exception("preparation_failed_inside", request=message.call_id)
            answer = Err(PreparationFailure(PREPARER_FAILED))
        match answer:
            case Ok(handles):
                self.post(Prepared(message.number, tuple(handles)))
            case Err(refusal):
                self.post(Refused(message.number, refusal.reason, refusal.retry_after))

    async def _send_all(self):
        while True:
            await self._socket.send(await self._outbox.get())
            self._sent += 1

    def _end(self):
        self.is_ready = False
        self.ended.set()
        self.fail_pending("link lost")
        for task in list(self._task_by_number.values()):
            task.cancel()
