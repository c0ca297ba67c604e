"""An accepted configuration is in force everywhere within seconds, for good."""

from itertools import pairwise, product

from wharf_standins.history.span_kind import SpanKind
from wharf_standins.history.violation import Violation

__all__ = ["check_configuration"]

PROMISE = "configuration"
GRACE_SECONDS = 2.0


def check_configuration(history, grace=GRACE_SECONDS):
    """Return processes that reverted, or lacked a revision after `grace`."""
    return [*_reverts(history), *_overwritten(history), *_late(history, grace)]


def _reverts(history):
    for process in history.processes:
        revisions = [one.revision for one in history.adopted if one.process == process]
        for earlier, later in pairwise(revisions):
            if later < earlier:
                detail = f"{process} went from revision {earlier} to {later}"
                yield Violation(PROMISE, detail)


def _overwritten(history):
    for operation in history.accepted:
        if operation not in history.kept:
            yield Violation(PROMISE, f"accepted change {operation} was overwritten")


def _late(history, grace):
    accepted = history.spans_of(SpanKind.ACCEPTED)
    for process, span in product(history.processes, accepted):
        limit = span.begin + grace
        if limit > history.end or _was_down(history, process, span.begin, limit):
            continue
        held = (
            one.revision
            for one in history.adopted
            if one.process == process and one.at <= limit
        )
        if max(held, default=0) < int(span.subject):
            detail = f"{process} lacked revision {span.subject} after {grace} s"
            yield Violation(PROMISE, detail)


def _was_down(history, process, begin, end):
    ends = (SpanKind.DOWN, SpanKind.PLANNED_STOP)
    return any(
        span.kind in ends
        and span.subject == process
        and span.begin < end
        and span.end > begin
        for span in history.spans
    )
