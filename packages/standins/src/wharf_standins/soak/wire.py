"""Messages of clients, upstreams and the store in the platform's protocol."""

from wharf_adapter import names

__all__ = [
    "EVENTS",
    "HOST",
    "response_body",
    "request_head",
    "configuration",
    "event",
    "upstream_entry",
]

HOST = "soak.example"
EVENTS = 6
RESPONSE_BYTES = 300
SERVICE = "engines"
TIMEOUT_SECONDS = 3.0


def response_body(request_id):
    """Return the response body of a request that isn't a stream."""
    return request_id.encode().ljust(RESPONSE_BYTES, b".")


def event(request_id, number):
    """Return one event of the response to a stream request."""
    return f"id: {number}\ndata: {request_id}\n\n".encode()


def request_head(request_id, kind, seconds, length):
    """Return the request line and header of a client's request."""
    fields = {
        "Host": HOST,
        names.ATTEMPT_ID: request_id,
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
    """Return the spec of an upstream's entry in the store."""
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
