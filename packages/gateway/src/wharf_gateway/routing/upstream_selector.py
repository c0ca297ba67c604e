"""Selection of a request's upstream by route, rollouts and cold-start limits."""

from wharf_gateway.routing.balancing import (
    choose_by_latency,
    choose_by_prefix,
    eligible,
)

__all__ = ["UpstreamSelector"]


class UpstreamSelector:
    """Select upstreams from the known state of the fleet.

    `expected` chooses by expected time for the services that it applies to.
    """

    def __init__(self, fleet, rollouts, rng, expected=None):
        self._fleet = fleet
        self._rollouts = rollouts
        self._rng = rng
        self._expected = expected

    def expected_data_centre(self, context, now):
        """Return the data centre of the likely upstream, empty if there is none."""
        service = self._pick_service(context.route)
        states = self._fleet.states_or_leaving(service, now)
        states = eligible(states, context.tried, now)
        state = self._choose(states, context, service, now)
        return state.upstream.data_centre if state else ""

    def select(self, context, now):
        """Return the state of the upstream for the next attempt, None if none fits.

        Choosing a cold upstream uses up a token of its rate limit. Only first attempts
        may go to the new version of a running rollout.
        """
        service = self._pick_service(context.route)
        call_id = context.details.id
        state = None
        if not context.tried and self._rollouts.is_canary(service, call_id, now):
            canary_states = self._fleet.canary_states(service)
            state = self._select_limited(canary_states, context, service, now)
        states = self._fleet.states_or_leaving(service, now)
        state = state or self._select_limited(states, context, service, now)
        if state is not None:
            state.reserve_send(now)
        return state

    def _select_limited(self, states, context, service, now):
        states = self._within_limits(eligible(states, context.tried, now), now)
        states = self._limit_cold(states, service, now)
        return self._choose(states, context, service, now)

    def limit_wait(self, context, now):
        """Return the seconds until an upstream takes the request within its limit.

        Return 0 if one does now, or if limits aren't what keeps the request waiting.
        """
        state = self.first_within_limit(context, now)
        return 0.0 if state is None else state.limit_wait(now)

    def quiet_wait(self, context, now):
        """Return the seconds until the first upstream wants requests again.

        Return 0 unless all of them want none.
        """
        service = self._pick_service(context.route)
        states = self._fleet.states_or_leaving(service, now)
        states = eligible(states, context.tried, now)
        return min((state.report.wait(now) for state in states), default=0.0)

    def first_within_limit(self, context, now):
        """Return the state of the upstream whose limit takes the request first.

        Return None if the service that is drawn for the request has no upstream.
        """
        states = self._limited_states(context, now)
        return min(states, key=lambda state: state.limit_wait(now), default=None)

    def is_usable(self, state, now):
        """Return whether a reserved upstream still takes requests."""
        service = state.upstream.service
        states = self._fleet.states_or_leaving(service, now)
        is_usable = state in self._warm(states, service, now)
        is_quiet = state.report.is_quiet(now)
        return is_usable and not is_quiet and not state.in_backoff(now)

    def has_alternative(self, context, now):
        """Return whether a sound upstream that wasn't tried takes the request now."""
        states = self._within_limits(self._limited_states(context, now), now)
        return any(not state.in_backoff(now) for state in states)

    def _limited_states(self, context, now):
        """Return the upstreams whose limits a request may wait for.

        Cold ones are left out, since their own rate applies as well.
        """
        service = self._pick_service(context.route)
        states = self._fleet.states_or_leaving(service, now)
        states = self._warm(states, service, now)
        return eligible(states, context.tried, now)

    @staticmethod
    def _within_limits(states, now):
        return [state for state in states if state.limit_wait(now) <= 0]

    def _choose(self, states, context, service, now):
        """Return the best of `states`, and keep suspects apart from other requests.

        A request that may crash its upstream goes where it would interrupt the fewest.
        """
        if context.is_suspect:
            return min(states, key=lambda state: state.load(now), default=None)
        states = [state for state in states if not state.suspects] or states
        settings = self._service(service)
        if self._expected is not None and self._expected.applies(service):
            return self._expected.choose(states, context, settings, now)
        if settings is not None and settings.engine is not None:
            prompt = context.details.prompt
            prefix = prompt[-2].id if len(prompt) > 1 else ""
            return choose_by_prefix(states, prefix, now)
        return choose_by_latency(states, now, self._rng)

    def _limit_cold(self, states, service, now):
        """Return the warm upstreams, or else the cold ones within their rate limit.

        Each gateway uses an equal part of the service's rate of requests.
        """
        warm = self._warm(states, service, now)
        if warm or not states:
            return warm
        rate = self._service(service).cold_rate / self._fleet.gateway_count
        return [s for s in states if s.take_cold_token(rate, now)]

    def _warm(self, states, service, now):
        """Return the upstreams to which no cold rate applies."""
        settings = self._service(service)
        if settings is None or settings.cold_rate <= 0:
            return states
        return [state for state in states if state.upstream.cold_until <= now]

    def _service(self, name):
        return self._fleet.configuration.service_by_name.get(name)

    def _pick_service(self, route):
        weights = [target.weight for target in route.targets]
        if len(weights) == 1 or not sum(weights):
            return route.targets[0].service
        return self._rng.choices(route.targets, weights)[0].service
