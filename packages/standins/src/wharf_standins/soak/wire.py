"""What callers, upstreams and the store say to gateways, in the platform's words."""

from wharf_adapter import names

__all__ = [
    "EVENTS",
    "HOST",
    "answer_body",
    "caller_head",
    "configuration",
    "event",
    "upstream_entry",
]

HOST = "soak.example"
EVENTS = 6
ANSWER_BYTES = 300
SERVICE = "engines"
TIMEOUT_SECONDS = 3.0


def answer_body(call_id):
    """Return the whole answer to a request that isn't a stream."""
    return call_id.encode().ljust(ANSWER_BYTES, b".")


def event(call_id, number):
    """Return one event of the answer to a stream."""
    return f"id: {number}\ndata: {call_id}\n\n".encode()


def caller_head(call_id, kind, seconds, length):
    """Return the head of a caller's request."""
    fields = {
        "Host": HOST,
        names.ATTEMPT_ID: call_id,
        names.DEADLINE: str(int(seconds * 1000)),
        "Content-Length": str(length),
    }
    lines = [f"POST /{kind}/x HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join((*lines, "", "")).encode()


def configuration(version):
    """Return a configuration with a route for each kind of request."""
    return {
        "version": version,
        "routes": [
            {
                "name": kind,
                "hostname": HOST,
                "pathPrefix": f"/{kind}/",
                "routeKind": kind,
                "timeoutMs": TIMEOUT_SECONDS * 1000,
                "sloMs": 500,
                "service": SERVICE,
                "maxAttempts": 2,
            }
            for kind in ("safe", "unsafe", "stream")
        ],
        "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 200}],
    }


def upstream_entry(address, state="ready"):
    """Return what an upstream writes of itself."""
    return {
        "service": SERVICE,
        "address": address,
        "zone": "dc-1",
        "version": "v1",
        "slots": 8,
        "state": state,
        "coldLeftMs": 0.0,
        "seqNo": 1,
        "born": 1,
    }
