"""Chooses the upstream of a request by its route, rollouts and cold rates."""

from wharf_gateway.routing.chooser import choose_engine, choose_plain, usable

__all__ = ["UpstreamSelector"]


class UpstreamSelector:
    """Choose for a request under way, by what is believed of the fleet."""

    def __init__(self, fleet, rollouts, rng):
        self._fleet = fleet
        self._rollouts = rollouts
        self._rng = rng

    def expected_data_centre(self, context, now):
        """Return the data centre of the upstream that a request will likely get."""
        service = self._pick_service(context.route)
        states = usable(self._fleet.states(service), context.tried, now)
        state = self._best(states, context, service, now)
        return state.upstream.data_centre if state else ""

    def select(self, context, now):
        """Return the state of the upstream that gets a request now, if there is one.

        A cold one spends its part of the rate. Only a first attempt goes to a version
        on trial.
        """
        service = self._pick_service(context.route)
        call_id = context.details.id
        state = None
        if not context.tried and self._rollouts.is_on_trial(service, call_id, now):
            canary_states = self._fleet.canary_states(service)
            state = self._best_warm(canary_states, context, service, now)
        states = self._fleet.states(service)
        return state or self._best_warm(states, context, service, now)

    def _best_warm(self, states, context, service, now):
        states = self._warm(usable(states, context.tried, now), service, now)
        return self._best(states, context, service, now)

    def _best(self, states, context, service, now):
        found = self._service(service)
        if found is not None and found.engine is not None:
            prompt = context.details.prompt
            prefix = prompt[-2].id if len(prompt) > 1 else ""
            return choose_engine(states, prefix, now)
        return choose_plain(states, now, self._rng)

    def _warm(self, states, service, now):
        """Leave out cold upstreams whose share of requests is used up."""
        found = self._service(service)
        if found is None or found.cold_rate <= 0:
            return states
        rate = found.cold_rate / self._fleet.entry_count
        warm = [s for s in states if s.upstream.cold_until <= now]
        cold = [s for s in states if s.upstream.cold_until > now]
        return warm or [s for s in cold if s.take_cold_token(rate, now)]

    def _service(self, name):
        return self._fleet.configuration.service_by_name.get(name)

    def _pick_service(self, route):
        weights = [target.weight for target in route.targets]
        if len(weights) == 1 or not sum(weights):
            return route.targets[0].service
        return self._rng.choices(route.targets, weights)[0].service
