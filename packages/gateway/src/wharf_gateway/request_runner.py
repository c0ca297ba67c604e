"""Runs admitted requests: preparation, attempts, retries and the response."""

import asyncio
from functools import partial

import structlog
from result import Err, Ok

from wharf_coordination.code import Code
from wharf_gateway.attempt_result import AttemptResult
from wharf_gateway.event_pace import EventPace
from wharf_gateway.event_splitter import EventSplitter
from wharf_gateway.gateway_response import NOT_RUN_STATUSES, GatewayResponse
from wharf_gateway.http.http_call_error import (
    AnswerTooLargeError,
    HttpCallError,
    UnmatchedAnswerError,
)
from wharf_gateway.limit_waits import ENGINE_SECONDS, LimitWaits
from wharf_gateway.model.route_kind import RouteKind
from wharf_gateway.patience import stall_seconds
from wharf_gateway.request_features import all_features
from wharf_gateway.routing.answer_recorder import AnswerRecorder
from wharf_gateway.routing.upstream_selector import UpstreamSelector
from wharf_gateway.stages.preparation import Preparation
from wharf_gateway.stages.preparation_failure import PreparationFailure
from wharf_gateway.takeover import MAX_SENDS, Takeover
from wharf_gateway.upstream_failure import UpstreamFailure

__all__ = ["RequestRunner"]

log = structlog.get_logger(__name__)

MISDIRECTED_REQUEST = 421
# A cancelled attempt counts as a failure of its upstream after this long.
CANCELLED_FAILURE_SECONDS = 0.5
# A request whose upstream was lost as it answered waits for what other gateways know of
# it before it is sent to the next one.
SUSPECT_DELAY_SECONDS = 0.1


class RequestRunner:
    """Run requests that have been admitted, and answer them."""

    def __init__(
        self,
        fleet,
        dialect,
        pool,
        preparation_router,
        rollouts,
        budgets,
        clock,
        rng,
        meter,
        crash_guard,
        limits,
        shutdown,
        route_times,
        max_event_bytes=1 << 20,
        pause_guard=None,
        expected=None,
    ):
        self._fleet = fleet
        self._dialect = dialect
        self._pool = pool
        self._preparation_router = preparation_router
        self._rollouts = rollouts
        self._budgets = budgets
        self._clock = clock
        self._choice = UpstreamSelector(fleet, rollouts, rng, expected)
        self._expected = expected
        self._answers = AnswerRecorder(fleet, dialect, rng)
        self._meter = meter
        self._crash_guard = crash_guard
        self._limits = limits
        self._shutdown = shutdown
        self._route_times = route_times
        self._max_event_bytes = max_event_bytes
        self._pause_guard = pause_guard
        self.usage = None  # is told of requests that upstreams began, if it is set
        self._limit_waits = LimitWaits(self._choice, shutdown, meter, clock)
        self._takeover = Takeover(
            self._choice,
            budgets,
            self._prepare,
            self._drop_inputs,
            self._is_too_late_to_send,
            clock,
        )

    async def run(self, context, responder):
        """Answer the request within its deadline and before the process exits."""
        context.began_at = self._clock()
        try:
            async with asyncio.timeout_at(context.deadline) as scope:
                with self._shutdown.bounding(scope, 0.0):
                    answer = await self._run(context, responder)
        except TimeoutError:
            is_stopped = self._clock() < context.deadline
            answer = (_stopped_response if is_stopped else _deadline_response)(context)
        if answer is None:
            return
        self._log_not_served(context, answer, responder.is_started)
        if responder.is_started:
            responder.abort()
        else:
            responder.answer(answer.status, answer.headers, answer.body)

    async def _run(self, context, responder):
        self._budgets.count_first_try(context.route.targets[0].service)
        try:
            return await self._send_until_answered(context, responder)
        finally:
            self._drop_inputs(context)
            if self.usage is not None:
                self.usage.ended(context, self._clock())

    async def _prepare(self, context):
        """Prepare the inputs of the request's engine; return a refusal or None."""
        await self._wait_sure()
        route = context.route
        preparation = Preparation(
            context.details.id,
            route.steps,
            context.details.pieces,
            context.details.piece_key,
            context.priority,
            context.soft_deadline - ENGINE_SECONDS,
            context.deadline - ENGINE_SECONDS,
            self._choice.expected_data_centre(context, self._clock()),
        )
        started = self._clock()
        needed = self._upstream_seconds(context)
        answer = await self._run_preparation(preparation, context, needed)
        outcome = "prepared" if answer.is_ok() else "refused"
        self._meter.count("wharf_preparations", outcome)
        seconds = self._clock() - started
        self._meter.observe("wharf_preparation_seconds", seconds, outcome)
        log.info(
            "prepared" if answer.is_ok() else "not_prepared",
            request=context.details.id,
            pool=context.pool,
            preparer=context.preparer_link.name if context.preparer_link else "self",
            seconds=round(seconds, 3),
            reason=answer.unwrap_err().reason if answer.is_err() else None,
        )
        match answer:
            case Err(_) if self._shutdown.lacks(needed, self._clock()):
                return GatewayResponse.stopping()
            case Err(refusal):
                return GatewayResponse.not_run(
                    Code.UPSTREAM_FULL, f"steps: {refusal.reason}", refusal.retry_after
                )
            case Ok(inputs):
                context.inputs = inputs
                return None

    async def _run_preparation(self, preparation, context, needed):
        """Return the preparation's answer; stop once the request may not run.

        `needed` are the seconds that its upstream needs before the process exits.
        """
        try:
            async with asyncio.timeout(None) as scope:
                with (
                    self._crash_guard.interrupting(context, scope),
                    self._shutdown.bounding(scope, needed),
                ):
                    return await self._preparation_router.run(preparation, context)
        except TimeoutError:
            if not scope.expired():
                raise
            if self._shutdown.lacks(needed, self._clock()):
                return Err(PreparationFailure("stopping"))
            return Err(PreparationFailure("the request is in quarantine"))

    def _upstream_seconds(self, context):
        return self._route_times.upstream_seconds(context.route.name)

    def _is_too_late_to_send(self, context):
        """Return whether the process stops before an upstream would have answered."""
        return self._shutdown.lacks(self._upstream_seconds(context), self._clock())

    async def _send_until_answered(self, context, responder):
        """Send the request until it is answered.

        Return the response for the caller, or None if it has been answered.
        """
        refusal = self._crash_guard.refusal(context, self._clock())
        if refusal is not None:
            return refusal
        answer = GatewayResponse.not_run(Code.NO_UPSTREAM, "no upstream available")
        refusal = self._limit_waits.refusal_at_once(context, answer)
        if refusal is not None:
            return refusal
        splitter = EventSplitter()
        attempts = 0
        while context.sends < MAX_SENDS and attempts < context.route.max_attempts:
            if self._is_too_late_to_send(context):
                return answer if context.sends else GatewayResponse.stopping()
            if context.was_lost:
                await asyncio.sleep(SUSPECT_DELAY_SECONDS)
            if context.route.steps and context.inputs is None:
                refusal = await self._prepare(context)
                if refusal is not None:
                    condemned = self._crash_guard.refusal(context, self._clock())
                    return answer if context.may_have_run else condemned or refusal
            await self._wait_sure()
            state = self._choice.select(context, self._clock())
            if state is None:
                state = await self._limit_waits.wait(context)
            if state is None:
                limits = self._limit_waits
                return answer if context.sends else limits.refusal(context, answer)
            service = state.upstream.service
            refusal = self._crash_guard.refusal_at(context, service, self._clock())
            if refusal is not None:
                return answer if context.may_have_run else refusal
            if self._is_too_late_to_send(context):
                return answer if context.sends else GatewayResponse.stopping()
            if context.sends and not self._has_retry(context, service):
                return answer
            context.sends += 1
            splitter.discard_partial()
            with self._crash_guard.running(context, service):
                result = await self._attempt(context, state, responder, splitter)
            attempts += result.counts
            self._meter.count("wharf_attempts", result.outcome)
            if result.answer is None:
                return None
            if not (result.not_run and context.may_have_run):
                answer = result.answer
            if result.is_final:
                return answer
            if not result.not_run and not context.route.may_repeat:
                return answer
            log.info(
                "retry",
                request=context.details.id,
                upstream=state.upstream.id,
                detail=answer.detail,
                may_have_run=context.may_have_run,
            )
        return answer

    def _has_retry(self, context, service):
        """Return whether a retry is left; one that takes over has spent its own."""
        has_retry, context.has_retry = context.has_retry, False
        return has_retry or self._budgets.spend(service)

    async def _wait_sure(self):
        if self._pause_guard is not None:
            await self._pause_guard.wait_sure(self._clock)

    async def _attempt(self, context, state, responder, splitter):
        upstream = state.upstream
        context.tried.add(upstream.id)
        started = self._clock()
        ran_before = context.may_have_run
        in_flight = state.in_flight
        context.response_latency = None
        context.response_began = False
        state.in_flight += 1
        state.suspects += context.is_suspect
        was_suspect = context.is_suspect
        connection = None
        failed = True
        try:
            connection = await self._pool.acquire(
                upstream.address,
                started,
                state.report,
                call_id=context.details.id,
            )
            if not state.report.takes_requests(self._clock()):
                failed = None
                return self._unsent_result(context, state)
            connection.on_late_head = partial(self._note_late, state)
            self._send(context, state, connection, splitter, started)
            if self._expected is not None:
                self._expected.record_send(context, state, self._clock())
            context.may_have_run = True
            if self.usage is not None:
                self.usage.sent(context, started)
            head = await self._takeover.head(context, state, connection)
            reply = self._dialect.read_response(head)
            context.response_began = True
            self._note_reply(context, state, head, reply, connection, started)
            if reply.not_run:
                context.may_have_run = ran_before
            result = await self._relay(
                context, state, responder, connection, head, reply, splitter, started
            )
            failed = _has_failed(result, reply)
            return result
        except HttpCallError as error:
            self._record_loss(context, state, error)
            return self._failure_result(context, state, error)
        except TimeoutError:
            seconds = self._clock() - started
            error = HttpCallError(f"no response within {seconds:.2f} s")
            return self._failure_result(context, state, error)
        except asyncio.CancelledError:
            if self._clock() - started > CANCELLED_FAILURE_SECONDS:
                state.record_failure()
            raise
        finally:
            state.in_flight -= 1
            state.suspects -= was_suspect
            if failed is not None:
                self._record_sample(context, upstream, in_flight, failed, started)
            if connection is not None:
                self._pool.release(upstream.address, connection, self._clock())

    def _record_sample(self, context, upstream, in_flight, failed, started):
        now = self._clock()
        seconds = context.response_latency
        if seconds is None:
            seconds = now - started
        route = context.route.name
        self._rollouts.record_attempt(upstream, route, in_flight, failed, seconds, now)

    def _record_loss(self, context, state, error):
        """Record a connection that broke before the end of the answer."""
        is_reset_here = isinstance(error, (AnswerTooLargeError, UnmatchedAnswerError))
        if not error.was_sent or is_reset_here:
            return
        if context.response_began:
            context.was_lost = True
            context.is_suspect = context.is_suspect or context.response_latency is None
        self._crash_guard.record_loss(context, state.upstream, self._clock())

    def _note_first_part(self, context, state, started):
        """Record the latency of an answer as its first event, or its body, has come."""
        now = self._clock()
        context.response_latency = now - started
        if self.usage is not None:
            self.usage.answered(context, started, now)
        state.record_success(context.response_latency)
        if self._expected is not None:
            self._expected.record_latency(context, state, context.response_latency, now)

    def _note_whole(self, context, state, connection):
        """Record for the crash guard that the whole of an answer has come."""
        now = self._clock()
        if connection.is_close_delimited:
            self._crash_guard.record_ended(context, state.upstream, now)
        else:
            self._crash_guard.record_answered(context, state.upstream, now)

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

        connection.send(head, bytes(inbound.body), self._dialect.id_field, call_id)

    def _note_late(self, state, head):
        self._answers.record_late(state, head, self._clock())

    def _note_reply(self, context, state, head, reply, connection, started):
        connection.idle_timeout = reply.idle_seconds
        if reply.has_self_report:
            by = f"answer to {context.details.id}"
            self._answers.record(state, head.status, reply, by, self._clock())
        if self._fleet.state_by_id.get(state.upstream.id) is state:
            self._limits.record_answer(
                state.upstream.id, reply.rate_limit, started, self._clock()
            )
        self._fleet.record_load(state, reply, self._clock())

    async def _relay(
        self, context, state, responder, connection, head, reply, splitter, started
    ):
        if reply.not_run:
            await connection.body()
            return self._not_run_result(context, state, head)
        if head.status >= 300 or not reply.is_signed:
            if self.usage is not None and context.route.kind is not RouteKind.STREAM:
                self.usage.answered(context, started, self._clock())
            return await self._relay_failure(context, state, connection, head, reply)
        if context.route.kind is RouteKind.STREAM:
            return await self._relay_stream(
                context, state, responder, connection, head, splitter, started
            )
        body = await connection.body()
        self._note_first_part(context, state, started)
        self._note_whole(context, state, connection)
        responder.answer(head.status, self._dialect.caller_fields(head.headers), body)
        self._log_answer(context, state, head.status, started)
        return AttemptResult()

    async def _relay_failure(self, context, state, connection, head, reply):
        body = await connection.body()
        state.record_failure()
        if not reply.is_signed and head.status < 300:
            answer = GatewayResponse(
                502, Code.ANSWER_BROKEN, "the response is not signed"
            )
            return AttemptResult(answer, is_final=not context.route.may_repeat)
        if head.status in NOT_RUN_STATUSES and not context.route.may_repeat:
            # The upstream doesn't say that it hasn't run the request.
            detail = f"status {head.status}, but the request may have run"
            return AttemptResult(GatewayResponse(502, Code.UPSTREAM_FAILED, detail))
        return AttemptResult(
            UpstreamFailure(
                head.status, self._dialect.caller_fields(head.headers), body
            )
        )

    async def _relay_stream(
        self, context, state, responder, connection, head, splitter, started
    ):
        # An upstream that only continues an answer may not come to the part on which
        # the one before it crashed.
        is_resumed = bool(splitter.last_id or context.details.last_event)
        pace = EventPace(stall_seconds(context.route), self._clock())
        while data := await self._takeover.next_part(context, pace, connection):
            received_at = self._clock()
            events = splitter.feed(data)
            if len(splitter.buffer) > self._max_event_bytes:
                raise AnswerTooLargeError(f"event over {self._max_event_bytes} bytes")
            if events:
                if context.response_latency is None:
                    self._note_first_part(context, state, started)
                if not responder.is_started:
                    self._drop_inputs(context)
                    responder.begin(
                        head.status, self._dialect.caller_fields(head.headers)
                    )
                await responder.send(events)
                pace.record(received_at, self._clock())
        if splitter.buffer:
            raise HttpCallError("the stream ended in the middle of an event")
        if context.response_latency is None and connection.is_close_delimited:
            raise HttpCallError("the connection ended before the first event")
        if context.response_latency is not None and not is_resumed:
            self._note_whole(context, state, connection)
        if not responder.is_started:
            responder.begin(head.status, self._dialect.caller_fields(head.headers))
        responder.end()
        self._log_answer(context, state, head.status, started, pace.blocked)
        return AttemptResult()

    def _not_run_result(self, context, state, head):
        now = self._clock()
        if head.status == MISDIRECTED_REQUEST:
            self._fleet.remove(state.upstream.id, "another has its address")
            answer = GatewayResponse.not_run(
                Code.NO_UPSTREAM, "another upstream has the address"
            )
            return AttemptResult(answer, not_run=True, counts=0)
        state.record_load(state.upstream.slots, 1, now)
        if state.report.is_quiet(now):
            context.tried.discard(state.upstream.id)
        answer = GatewayResponse.not_run(
            Code.UPSTREAM_FULL,
            f"status {head.status}",
            self._limit_waits.retry_after(context),
        )
        return AttemptResult(answer, not_run=True)

    def _unsent_result(self, context, state):
        """Return the result for an upstream that has just said it wants no requests."""
        context.tried.discard(state.upstream.id)
        context.has_retry = True  # the next attempt is no retry
        answer = GatewayResponse.not_run(
            Code.NO_UPSTREAM,
            "the upstream wants no requests",
            self._limit_waits.retry_after(context),
        )
        return AttemptResult(answer, not_run=True, counts=0)

    def _failure_result(self, context, state, error):
        if isinstance(error, UnmatchedAnswerError):
            state.record_failure()
        else:
            state.record_unreachable(self._clock())
        features = all_features(state.upstream.service, context)
        log.info(
            "attempt_lost",
            request=context.details.id,
            upstream=state.upstream.id,
            detail=str(error),
            sent=error.was_sent,
            began=context.response_began,
            served=context.response_latency is not None,
            prompt=[part.id for part in context.details.prompt],
            features=list(features) if error.was_sent else [],
        )
        if not error.was_sent:
            answer = GatewayResponse.not_run(Code.NO_UPSTREAM, str(error))
            return AttemptResult(answer, not_run=True, counts=0)
        is_too_large = isinstance(error, AnswerTooLargeError)
        code = Code.ANSWER_TOO_LARGE if is_too_large else Code.ANSWER_BROKEN
        return AttemptResult(GatewayResponse(502, code, str(error)))

    def _drop_inputs(self, context):
        if context.inputs:
            self._preparation_router.free(context, context.inputs)
            context.inputs = None

    def _measure(self, context, status, code, now):
        """Count a finished request and return its duration in seconds."""
        kind = context.route.kind.value
        seconds = now - context.inbound.received_at
        self._meter.count("wharf_requests", kind, status, code)
        self._meter.observe("wharf_request_seconds", seconds, kind)
        return seconds

    def _log_answer(self, context, state, status, started, blocked=0.0):
        """Log an answered request; its caller took `blocked` seconds to read."""
        now = self._clock()
        seconds = self._measure(context, status, "ok", now)
        kind = context.route.kind.value
        self._meter.observe("wharf_upstream_seconds", now - started, kind)
        read_at = now - blocked
        self._route_times.record(
            context.route.name, read_at - context.began_at, read_at - started
        )
        chosen = {}
        if self._expected is not None:
            chosen = self._expected.log_fields(context, state)
        log.info(
            "answered",
            request=context.details.id,
            route=context.route.name,
            upstream=state.upstream.id,
            status=status,
            seconds=round(seconds, 3),
            upstream_seconds=round(now - started, 3),
            sends=context.sends,
            **chosen,
        )

    def _log_not_served(self, context, answer, is_cut):
        """Log a request that ends without an upstream's whole answer.

        `is_cut` says that a response to its caller has begun, which is cut.
        """
        now = self._clock()
        seconds = self._measure(context, answer.status, answer.code.label, now)
        log.info(
            "not_served",
            request=context.details.id,
            route=context.route.name,
            status=answer.status,
            code=answer.code.label,
            detail=answer.detail,
            is_cut=is_cut,
            seconds=round(seconds, 3),
            left=round(context.deadline - now, 3),
            sends=context.sends,
            tried=sorted(context.tried),
            may_have_run=context.may_have_run,
            feature=answer.feature,
        )


def _has_failed(result, reply):
    """Return whether an attempt failed; None if it says nothing of the version.

    An upstream that rejects a request as it leaves or wants no requests hasn't failed,
    nor has it served.
    """
    if result.not_run and reply.has_self_report:
        return None
    return not result.not_run and result.answer is not None


def _stopped_response(context):
    if context.may_have_run:
        return GatewayResponse(
            504, Code.ENTRY_STOPPING, "no response before the process stops"
        )
    return GatewayResponse.stopping()


def _deadline_response(context):
    if context.may_have_run:
        return GatewayResponse(
            504, Code.DEADLINE_PASSED, "no response before the deadline"
        )
    return GatewayResponse.not_run(
        Code.DEADLINE_PASSED, "no upstream available before the deadline"
    )
