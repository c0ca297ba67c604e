"""What the callers of an entry are promised, checked for one request."""

import json

__all__ = ["violations"]

SLACK_SECONDS = 0.3
OK = 200


def violations(exchange, runs, ended_at, paused):
    """Yield a description of each broken promise.

    `runs` are the runs of this request at upstreams. `ended_at` is the time from which
    the entry no longer reads, and `paused` the seconds for which the process stood.
    """
    if exchange.left or exchange.sent_at is None:
        return
    if exchange.is_unread:
        if runs:
            yield "ran behind a response that was the last"
        return
    if not exchange.is_whole:
        if ended_at is None or exchange.sent_at < ended_at or exchange.status:
            yield "neither answered nor refused"
        return
    seconds = exchange.answered_at - exchange.read_by - exchange.slow
    if seconds > exchange.deadline + paused + SLACK_SECONDS:
        yield f"answered after {seconds:.2f} s, deadline {exchange.deadline:.2f} s"
    yield from _content_violations(exchange, runs)


def _content_violations(exchange, runs):
    refusal = _refusal(exchange)
    if refusal is None:
        if not _is_own(exchange):
            yield f"the answer isn't whole or its own: {exchange.text[:80]}"
    elif refusal["ran"] == "no" and runs:
        yield f"refused as not run, but it ran: {refusal}"
    elif refusal["error"] == "internal":
        yield f"an error inside the entry or the sidecar: {refusal}"


def _refusal(exchange):
    if exchange.status != OK:
        return json.loads(exchange.text)
    if exchange.streaming:
        kind, data = _events(exchange)[-1]
        return data if kind == "error" else None
    return None


def _is_own(exchange):
    if not exchange.streaming:
        return json.loads(exchange.text)["echo"] == exchange.note
    *chunks, (kind, data) = _events(exchange)
    numbers = [chunk["sequence"] for _, chunk in chunks]
    return (
        kind == "end"
        and numbers == list(range(data["chunks"]))
        and (not chunks or json.loads(chunks[0][1]["text"]) == exchange.note)
    )


def _events(exchange):
    events = []
    for block in exchange.text.strip().split("\n\n"):
        kind, _, data = block.partition("\ndata: ")
        events.append((kind.removeprefix("event: "), json.loads(data)))
    return events
