"""Each process adopts an accepted configuration within seconds and keeps it."""

from itertools import pairwise, product

from wharf_standins.history.span_kind import SpanKind
from wharf_standins.history.violation import Violation

__all__ = ["check_configuration"]

GUARANTEE = "configuration"
GRACE_SECONDS = 2.0


def check_configuration(history, grace=GRACE_SECONDS):
    """Return reverted, overwritten and, after `grace` seconds, missing revisions."""
    return [
        *_find_reverts(history),
        *_find_overwritten(history),
        *_find_late(history, grace),
    ]


def _find_reverts(history):
    for process in history.processes:
        revisions = [
            adoption.revision
            for adoption in history.adoptions
            if adoption.process == process
        ]
        for earlier, later in pairwise(revisions):
            if later < earlier:
                detail = f"{process} went from revision {earlier} to {later}"
                yield Violation(GUARANTEE, detail)


def _find_overwritten(history):
    for operation in history.accepted_operations:
        if operation not in history.final_operations:
            yield Violation(GUARANTEE, f"accepted change {operation} was overwritten")


def _find_late(history, grace):
    accepted = history.spans_of(SpanKind.ACCEPTED)
    for process, span in product(history.processes, accepted):
        limit = span.begin + grace
        if limit > history.end or _was_down(history, process, span.begin, limit):
            continue
        adopted = (
            adoption.revision
            for adoption in history.adoptions
            if adoption.process == process and adoption.at <= limit
        )
        if max(adopted, default=0) < int(span.subject):
            detail = f"{process} lacked revision {span.subject} after {grace} s"
            yield Violation(GUARANTEE, detail)


def _was_down(history, process, begin, end):
    ends = (SpanKind.DOWN, SpanKind.PLANNED_STOP)
    return any(
        span.kind in ends
        and span.subject == process
        and span.begin < end
        and span.end > begin
        for span in history.spans
    )
