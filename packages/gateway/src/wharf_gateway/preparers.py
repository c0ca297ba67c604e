"""Brings each request's steps to the gateway that prepares for a data centre."""

import structlog
from result import Err, Ok

from wharf_coordination.rendezvous import ranked
from wharf_gateway.stages.preparer import Preparer
from wharf_gateway.stages.unprepared import Unprepared

__all__ = ["Preparers"]

log = structlog.get_logger(__name__)

MAX_ASKED = 3  # gateways that one request's steps are tried at
# A request is prepared in another data centre only if the steps begin this much
# sooner there: its bytes and results then cross between data centres.
AWAY_SECONDS = 0.15
# What one request adds to a backlog until the next load notice shows it.
PENDING_SECONDS = 0.04
LINK_REASONS = ("link lost", "peer silent")


class Preparers:
    """Know who prepares for which data centre, this gateway included."""

    def __init__(self, settings, fleet, caller, clock):
        self._settings = settings
        self._fleet = fleet
        self._caller = caller
        self._clock = clock
        self.preparer_by_data_centre = {}
        self._pending_by_data_centre = {}
        self.peers = None
        self.is_ready = lambda: True

    def preparer(self, data_centre):
        """Return this gateway's preparer for a data centre, made at its first use."""
        if data_centre not in self.preparer_by_data_centre:
            self.preparer_by_data_centre[data_centre] = Preparer(
                self._fleet, self._caller, data_centre, self._clock
            )
        return self.preparer_by_data_centre[data_centre]

    def owner(self, data_centre, now):
        """Return the link to who prepares for a data centre, none for this gateway.

        Gateways of that data centre go first; all choose alike without agreement.
        """
        links = self.peers.alive(now)
        centre_by_name = {name: link.data_centre for name, link in links.items()}
        if self.is_ready() or not links:
            centre_by_name[self._settings.name] = self._settings.data_centre
        near = [name for name, dc in centre_by_name.items() if dc == data_centre]
        first = ranked(data_centre, near or centre_by_name)[0]
        return links.get(first)

    def choose_data_centre(self, steps, now):
        """Return where a request's steps should run, by the backlogs."""
        centres = self._serving(steps)
        if not centres:
            return self._settings.data_centre
        backlog = {centre: self._backlog(centre, now) for centre in centres}
        home = self._settings.data_centre
        return min(
            centres,
            key=lambda centre: (
                backlog[centre] + (0.0 if centre == home else AWAY_SECONDS),
                centre != home,
                centre,
            ),
        )

    async def run(self, preparation, context):
        """Return the handles of a request's results, or why there are none."""
        answer = Err(Unprepared("nobody prepares"))
        for _ in range(MAX_ASKED):
            now = self._clock()
            centre = self.choose_data_centre(preparation.steps, now)
            context.data_centre = centre
            link = self.owner(centre, now)
            self._add_pending(centre, now)
            if link is None:
                answer = await self.preparer(centre).run(preparation)
            else:
                answer = await link.prepare(preparation, centre)
            match answer:
                case Err(Unprepared(reason, _)) if reason in LINK_REASONS:
                    log.info(
                        "prepare_again", request=preparation.call_id, reason=reason
                    )
                case Ok(handles):
                    context.owner = link
                    return Ok(handles)
                case _:
                    return answer
        return answer

    def free(self, context, handles):
        """Drop results that are not needed any more."""
        from wharf_gateway.peers.messages import Free

        if context.owner is None:
            self.preparer(context.data_centre).free(handles)
        else:
            context.owner.post(Free(context.data_centre, tuple(handles)))

    def load(self):
        """Return whether this gateway takes work, and its backlogs."""
        now = self._clock()
        backlogs = {
            centre: round(min(preparer.backlog(now), 60.0), 4)
            for centre, preparer in self.preparer_by_data_centre.items()
            if self.owner(centre, now) is None
        }
        return self.is_ready(), backlogs

    def advance(self, now):
        """Look after what has expired."""
        for preparer in list(self.preparer_by_data_centre.values()):
            preparer.advance(now)

    def _serving(self, steps):
        """Return the data centres that have an upstream for each step."""
        needed = {step.service for step in steps}
        centres_by_service = {
            service: {s.upstream.data_centre for s in self._fleet.states(service)}
            for service in needed
        }
        return set.intersection(*centres_by_service.values()) if needed else set()

    def _backlog(self, centre, now):
        link = self.owner(centre, now)
        pending, since = self._pending_by_data_centre.get(centre, (0.0, now))
        pending = max(0.0, pending - (now - since))
        if link is None:
            return self.preparer(centre).backlog(now)
        return link.backlog_by_data_centre.get(centre, 0.0) + pending

    def _add_pending(self, centre, now):
        pending, since = self._pending_by_data_centre.get(centre, (0.0, now))
        left = max(0.0, pending - (now - since))
        self._pending_by_data_centre[centre] = (left + PENDING_SECONDS, now)
