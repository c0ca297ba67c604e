"""Routing by expected time: chooses upstreams and learns from their responses."""

from wharf_coordination.duration_estimate import DurationEstimate
from wharf_gateway.model.route_kind import RouteKind
from wharf_gateway.policies import routes_by_expected_time
from wharf_gateway.routing.expected_time import (
    choose,
    engine_estimates,
    engine_spread,
    plain_estimates,
    plain_spread,
)
from wharf_gateway.routing.locality import CentreWait, Locality
from wharf_gateway.routing.prompt_work import PromptWork

__all__ = ["ExpectedRouting"]

# A latency of which reading is this much shows how fast an engine reads.
MIN_READ_SECONDS = 0.05
READ_SHARE = 0.8


class ExpectedRouting:
    """Choose upstreams by expected time where the settings say so.

    `view` is this gateway's `LoadView`; `settings` have the policy.
    """

    def __init__(self, settings, fleet, view, rng, meter):
        self._settings = settings
        self._fleet = fleet
        self._view = view
        self._rng = rng
        self._meter = meter
        self._ratio_by_route = {}
        self._locality = None
        if settings.locality is not None:
            self._locality = Locality(settings.locality.max_share)

    def applies(self, service):
        """Return whether a service's upstreams are chosen by expected time."""
        shared = self._fleet.shared_host_services
        return routes_by_expected_time(self._settings, service, shared)

    @property
    def is_enabled(self):
        """Return whether upstreams of any service may be chosen by expected time."""
        shared = self._fleet.shared_host_services
        return self.applies("") or any(self.applies(service) for service in shared)

    def choose(self, states, context, service, now):
        """Return the state to use, None if there is none, and note its estimate."""
        view = self._view
        view.gateway_count = self._fleet.gateway_count
        if service is not None and service.engine is not None:
            work = self._work(context)
            estimates = engine_estimates(states, view, service, work, now)
            spread = engine_spread(view.known_at(now), now)
        else:
            estimates = plain_estimates(states, view, now)
            spread = plain_spread(estimates)
        if self._locality is not None:
            estimates = self._within_locality(estimates, context, service, now)
        chosen = choose(estimates, spread=spread, draw=self._rng.random())
        context.estimate = chosen
        return None if chosen is None else chosen.state

    def record_send(self, context, state, now):
        """Record that a request is sent to an upstream."""
        if not self.applies(state.upstream.service):
            return
        is_chosen = context.estimate is not None and context.estimate.state is state
        if is_chosen and context.crossing is not None:
            self._count_crossing(context.crossing, state.upstream)
        knows = "shared" if self._view.is_shared(now) else "own"
        self._meter.count("wharf_routing", knows if is_chosen else "no estimate")
        if context.details.prompt_tokens or context.details.prompt:
            self._view.record_send(state.upstream, self._work(context), now)

    def record_latency(self, context, state, seconds, now):
        """Record the time from a request's sending to its response."""
        estimate = context.estimate
        if estimate is None or estimate.state is not state or not estimate.read:
            return
        ratio = seconds / estimate.usual
        if estimate.read < max(MIN_READ_SECONDS, READ_SHARE * estimate.usual):
            # How many tokens are written isn't known: only a comparison with other
            # requests of the route shows the pace.
            usual = self._usual_ratio(context.route.name, ratio)
            ratio *= self._view.scale(state.upstream.service, now) / usual
        self._view.record_ratio(estimate, ratio, now)

    def log_fields(self, context, state):
        """Return fields of a log line that tell why an upstream was chosen."""
        estimate = context.estimate
        if estimate is None or estimate.state is not state:
            return {}
        crossing = {}
        if context.crossing is not None:
            centre = state.upstream.data_centre
            crossing = {
                "data_centre": centre,
                "crossed": centre != context.crossing.home,
                "crossing_reason": context.crossing.reason,
            }
        return {
            **crossing,
            "expected_seconds": round(estimate.seconds, 3),
            "expected_wait": round(estimate.wait, 3),
            "pace": round(estimate.pace, 2),
            "cached_tokens": round(estimate.tokens),
            "report_age": round(min(estimate.age, 999.0), 3),
        }

    def _usual_ratio(self, route_name, ratio):
        known = self._ratio_by_route.get(route_name)
        if known is None:
            known = self._ratio_by_route[route_name] = DurationEstimate.first(ratio)
        else:
            known.add(ratio)
        return max(known.mean, 0.01)

    def shares(self):
        """Return the shares of requests that may leave, by service and data centre."""
        return {} if self._locality is None else self._locality.shares()

    def _within_locality(self, estimates, context, service, now):
        """Return the estimates of upstreams to which the request may go.

        Those in other data centres have the cost of the crossing. A request is at home
        where its inputs are, else in this gateway's data centre.
        """
        home = self._settings.data_centre
        if context.inputs:
            home = self._fleet.data_centre_of(context.inputs) or home
        crossing = self._crossing_seconds(context)
        wait_by_centre = {}
        for estimate in estimates:
            centre = estimate.state.upstream.data_centre
            best = wait_by_centre.get(centre)
            if best is None or estimate.seconds < best.seconds:
                wait_by_centre[centre] = CentreWait(
                    estimate.seconds, _known_age(estimate, self._view, now)
                )
        key = (context.route.targets[0].service, home)
        draw = self._rng.random()
        decision = self._locality.decide(key, home, wait_by_centre, crossing, draw, now)
        context.crossing = decision
        local = [e for e in estimates if e.state.upstream.data_centre == home]
        if not decision.leaves:
            return local
        return [
            e if e.state.upstream.data_centre == home else e.plus(crossing)
            for e in estimates
        ]

    def _crossing_seconds(self, context):
        costs = self._settings.locality
        if not context.inputs:
            return costs.crossing_seconds
        steps = context.route.steps
        used = {index for step in steps for index in step.after}
        size = sum(
            count * step.result_bytes
            for index, (step, count) in enumerate(
                zip(steps, context.details.pieces, strict=False)
            )
            if index not in used
        )
        return costs.crossing_seconds + size / 1e6 * costs.megabyte_seconds

    def _count_crossing(self, decision, upstream):
        is_home = upstream.data_centre == decision.home
        target = "home" if is_home else upstream.data_centre
        self._meter.count("wharf_crossings", decision.home, target, decision.reason)

    @staticmethod
    def _work(context):
        if context.work is None:
            is_stream = context.route.kind is RouteKind.STREAM
            context.work = PromptWork.of(context.details, is_stream=is_stream)
        return context.work


def _known_age(estimate, view, now):
    """Return the age of what is known of an upstream's load."""
    known_at = view.known_at(now)
    return estimate.age if known_at is None else min(estimate.age, now - known_at)
