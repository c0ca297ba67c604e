"""Answers for one request: its steps, its upstream, its retries, its end."""

import asyncio

import structlog
from result import Err, Ok

from wharf_coordination.code import Code
from wharf_gateway.attempt_fate import AttemptFate
from wharf_gateway.event_splitter import EventSplitter
from wharf_gateway.http.http_call_error import HttpCallError
from wharf_gateway.model.route_kind import RouteKind
from wharf_gateway.own_answer import OwnAnswer
from wharf_gateway.passed_failure import PassedFailure
from wharf_gateway.routing.upstream_selector import UpstreamSelector
from wharf_gateway.stages.preparation import Preparation

__all__ = ["RequestRunner"]

log = structlog.get_logger(__name__)

MISDIRECTED = 421
# Sends that ended as certainly not run, such as a refused connection, don't count as
# attempts, but are bounded all the same.
MAX_SENDS = 4
# A safe request is sent elsewhere when its upstream takes this many times its usual
# time; one in a hundred takes as long without a fault.
SLOW_FACTOR = 5.0
LEAST_PATIENCE_SECONDS = 0.15
# Engines make events each few dozen milliseconds; one that pauses this long is stuck,
# and a caller leaves after two seconds at the earliest.
STALL_SECONDS = 1.0
FIRST_EVENT_SECONDS = 1.5  # a long prompt behind others takes up to a second
# A request that was given up after this long speaks against its upstream.
OVERDUE_SECONDS = 0.5
# What an engine usually takes up to its first event.
ENGINE_SECONDS = 0.25


class RequestRunner:
    """Run requests that have been read and whose route is known."""

    def __init__(
        self, fleet, dialect, pool, preparers, rollouts, budgets, clock, rng, meter
    ):
        self._fleet = fleet
        self._dialect = dialect
        self._pool = pool
        self._preparers = preparers
        self._rollouts = rollouts
        self._budgets = budgets
        self._clock = clock
        self._choice = UpstreamSelector(fleet, rollouts, rng)
        self._meter = meter

    async def run(self, context, responder):
        """Answer the request, within its time."""
        try:
            async with asyncio.timeout_at(context.deadline):
                answer = await self._run(context, responder)
        except TimeoutError:
            answer = _timed_out(context)
        if answer is None:
            return
        self._log_end(context, answer)
        if responder.is_started:
            responder.abort()
        else:
            responder.answer(answer.status, answer.headers, answer.body)

    async def _run(self, context, responder):
        self._budgets.count_first_try(context.route.targets[0].service)
        try:
            return await self._attempts(context, responder)
        finally:
            self._free_inputs(context)

    async def _prepare(self, context):
        """Get the inputs of the request's engine; return a refusal or none."""
        route = context.route
        preparation = Preparation(
            context.details.id,
            route.steps,
            context.details.pieces,
            context.details.piece_key,
            context.priority,
            context.on_time_by - ENGINE_SECONDS,
            context.deadline - ENGINE_SECONDS,
            self._choice.expected_data_centre(context, self._clock()),
        )
        started = self._clock()
        answer = await self._preparers.run(preparation, context)
        outcome = "prepared" if answer.is_ok() else "refused"
        self._meter.count("wharf_preparations", outcome)
        seconds = self._clock() - started
        self._meter.observe("wharf_preparation_seconds", seconds, outcome)
        log.info(
            "prepared" if answer.is_ok() else "not_prepared",
            request=context.details.id,
            pool=context.pool,
            preparer=context.owner.name if context.owner else "self",
            seconds=round(seconds, 3),
            reason=answer.unwrap_err().reason if answer.is_err() else None,
        )
        match answer:
            case Err(refusal):
                return OwnAnswer.not_run(
                    Code.UPSTREAM_FULL, f"steps: {refusal.reason}", refusal.retry_after
                )
            case Ok(inputs):
                context.inputs = inputs
                return None

    async def _attempts(self, context, responder):
        """Send the request until it is answered; return an own answer or none."""
        splitter = EventSplitter()
        answer = OwnAnswer.not_run(Code.NO_UPSTREAM, "no upstream is known")
        attempts = 0
        while context.sends < MAX_SENDS and attempts < context.route.max_attempts:
            if context.route.steps and context.inputs is None:
                refusal = await self._prepare(context)
                if refusal is not None:
                    return refusal if not context.may_have_run else answer
            state = self._choice.select(context, self._clock())
            if state is None:
                return answer
            if context.sends and not self._budgets.spend(state.upstream.service):
                return answer
            context.sends += 1
            splitter.restart()
            fate = await self._attempt(context, state, responder, splitter)
            attempts += fate.counts
            self._meter.count("wharf_attempts", fate.outcome)
            if fate.answer is None:
                return None
            if not (fate.not_run and context.may_have_run):
                answer = fate.answer
            if fate.is_final:
                return answer
            if not fate.not_run and not context.route.may_repeat:
                return answer
            log.info(
                "retry",
                request=context.details.id,
                upstream=state.upstream.id,
                detail=answer.detail,
                may_have_run=context.may_have_run,
            )
        return answer

    async def _attempt(self, context, state, responder, splitter):
        upstream = state.upstream
        context.tried.add(upstream.id)
        started = self._clock()
        ran_before = context.may_have_run
        in_flight = state.in_flight
        context.first_part_seconds = None
        state.in_flight += 1
        connection = None
        failed = True
        try:
            connection = await self._pool.acquire(upstream.address, started)
            self._send(context, state, connection, splitter, started)
            context.may_have_run = True
            async with asyncio.timeout(self._patience(context, state)):
                head = await connection.head()
            reply = self._dialect.read_response(head)
            self._note_reply(state, reply, connection)
            if reply.not_run:
                context.may_have_run = ran_before
            fate = await self._relay(
                context, state, responder, connection, head, reply, splitter, started
            )
            failed = not fate.not_run and fate.answer is not None
            return fate
        except HttpCallError as error:
            return self._broken(context, state, error)
        except TimeoutError:
            seconds = self._clock() - started
            error = HttpCallError(f"no answer within {seconds:.2f} s")
            return self._broken(context, state, error)
        except asyncio.CancelledError:
            if self._clock() - started > OVERDUE_SECONDS:
                state.record_failure()
            raise
        finally:
            state.in_flight -= 1
            self._note_trial(context, upstream, in_flight, failed, started)
            if connection is not None:
                self._pool.release(upstream.address, connection, self._clock())

    def _note_trial(self, context, upstream, in_flight, failed, started):
        now = self._clock()
        seconds = context.first_part_seconds
        if seconds is None:
            seconds = now - started
        route = context.route.name
        self._rollouts.record_attempt(upstream, route, in_flight, failed, seconds, now)

    def _note_success(self, context, state, started):
        context.first_part_seconds = self._clock() - started
        state.record_success(context.first_part_seconds)

    def _send(self, context, state, connection, splitter, now):
        inbound, call_id = context.inbound, context.details.id
        headers = inbound.headers
        if splitter.last_id is not None:
            headers = self._dialect.resumed_fields(headers, splitter.last_id)
        headers = self._dialect.upstream_fields(
            headers,
            state.upstream.id,
            context.deadline - now,
            context.customer,
            context.has_customers,
            context.inputs,
            context.priority if context.route.kind is RouteKind.STREAM else None,
        )
        lines = [f"{inbound.method} {inbound.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.fields]
        if inbound.body or inbound.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(inbound.body)}")
        head = "\r\n".join((*lines, "", "")).encode("latin-1")

        def is_ours(fields):
            return fields.get(self._dialect.id_field) in (None, call_id)

        connection.send(head, bytes(inbound.body), is_ours)

    def _note_reply(self, state, reply, connection):
        connection.idle_timeout = reply.idle_seconds
        if reply.running is not None:
            state.record_load(reply.running, reply.waiting, self._clock())

    async def _relay(
        self, context, state, responder, connection, head, reply, splitter, started
    ):
        if reply.not_run:
            await connection.body()
            return self._refused(context, state, head)
        if head.status >= 300 or not reply.is_signed:
            return await self._relay_failure(context, state, connection, head, reply)
        if context.route.kind is RouteKind.STREAM:
            return await self._relay_stream(
                context, state, responder, connection, head, splitter, started
            )
        body = await connection.body()
        self._note_success(context, state, started)
        responder.answer(head.status, _passed(head.headers), body)
        self._log_answer(context, state, head.status, started)
        return AttemptFate()

    async def _relay_failure(self, context, state, connection, head, reply):
        body = await connection.body()
        state.record_failure()
        if not reply.is_signed and head.status < 300:
            answer = OwnAnswer(502, Code.ANSWER_BROKEN, "the answer isn't signed")
            return AttemptFate(answer, is_final=not context.route.may_repeat)
        return AttemptFate(PassedFailure(head.status, _passed(head.headers), body))

    async def _relay_stream(
        self, context, state, responder, connection, head, splitter, started
    ):
        while data := await self._next_part(context, connection):
            events = splitter.feed(data)
            if events:
                if not responder.is_started:
                    self._note_success(context, state, started)
                    self._free_inputs(context)
                    responder.begin(head.status, _passed(head.headers))
                await responder.send(events)
        if splitter.rest:
            raise HttpCallError("the stream ended within an event")
        if not responder.is_started:
            responder.begin(head.status, _passed(head.headers))
        responder.end()
        self._log_answer(context, state, head.status, started)
        return AttemptFate()

    async def _next_part(self, context, connection):
        """Return the next bytes; one that may be resumed isn't waited for too long."""
        seconds = STALL_SECONDS if context.route.is_resumable else None
        async with asyncio.timeout(seconds):
            return await connection.next_part()

    def _patience(self, context, state):
        """Return the seconds after which another upstream is tried, or none."""
        route = context.route
        is_last = len(context.tried) >= route.max_attempts
        if is_last or not route.may_repeat:
            return None
        if route.kind is RouteKind.STREAM:
            return FIRST_EVENT_SECONDS
        usual = state.latency or route.target_latency
        return max(SLOW_FACTOR * usual, LEAST_PATIENCE_SECONDS)

    def _refused(self, context, state, head):
        now = self._clock()
        if head.status == MISDIRECTED:
            self._fleet.forget(state.upstream.id, "another has its address")
            answer = OwnAnswer.not_run(Code.NO_UPSTREAM, "another has the address")
            return AttemptFate(answer, not_run=True, counts=0)
        state.record_load(state.upstream.slots, 1, now)
        answer = OwnAnswer.not_run(Code.UPSTREAM_FULL, f"status {head.status}")
        return AttemptFate(answer, not_run=True)

    def _broken(self, context, state, error):
        state.record_unreachable(self._clock())
        if not error.was_sent:
            answer = OwnAnswer.not_run(Code.NO_UPSTREAM, str(error))
            return AttemptFate(answer, not_run=True, counts=0)
        return AttemptFate(OwnAnswer(502, Code.ANSWER_BROKEN, str(error)))

    def _free_inputs(self, context):
        if context.inputs:
            self._preparers.free(context, context.inputs)
            context.inputs = None

    def _measure(self, context, status, code, now):
        """Count a request that ended, and return the seconds that it took."""
        kind = context.route.kind.value
        seconds = now - context.inbound.received_at
        self._meter.count("wharf_requests", kind, status, code)
        self._meter.observe("wharf_request_seconds", seconds, kind)
        return seconds

    def _log_answer(self, context, state, status, started):
        now = self._clock()
        seconds = self._measure(context, status, "ok", now)
        kind = context.route.kind.value
        self._meter.observe("wharf_upstream_seconds", now - started, kind)
        log.info(
            "answered",
            request=context.details.id,
            route=context.route.name,
            upstream=state.upstream.id,
            status=status,
            seconds=round(seconds, 3),
            upstream_seconds=round(now - started, 3),
            sends=context.sends,
        )

    def _log_end(self, context, answer):
        now = self._clock()
        seconds = self._measure(context, answer.status, answer.code.label, now)
        log.info(
            "not_served",
            request=context.details.id,
            route=context.route.name,
            status=answer.status,
            code=answer.code.label,
            detail=answer.detail,
            seconds=round(seconds, 3),
            left=round(context.deadline - now, 3),
            sends=context.sends,
            tried=sorted(context.tried),
            may_have_run=context.may_have_run,
        )


def _timed_out(context):
    if context.may_have_run:
        return OwnAnswer(504, Code.DEADLINE_PASSED, "no answer in time")
    return OwnAnswer.not_run(Code.DEADLINE_PASSED, "no upstream in time")


def _passed(headers):
    return headers.end_to_end().without({"content-length"})
