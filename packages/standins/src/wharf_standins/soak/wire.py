"""Messages of clients, upstreams and the store in the platform's protocol."""

from wharf_adapter import names
from wharf_standins.soak.request import DIRECT_KINDS, RequestKind

__all__ = [
    "ENGINES",
    "EVENTS",
    "HOST",
    "STEP_SERVICE",
    "configuration",
    "event",
    "read_request",
    "request_head",
    "response_body",
    "upstream_entry",
]

HOST = "soak.example"
EVENTS = 6
RESPONSE_BYTES = 300
ENGINES = "engines"
STEP_SERVICE = "encoders"
KEYED_ROUTE = "keyed"
# Pieces of the two steps; the second needs the results of the first.
STEP_PIECES = (2, 1)
RESULT_BYTES = 1000
STEPS_TARGET_SECONDS = 7.0  # long enough for preparations to wait


def response_body(request_id):
    """Return the response body of a request that isn't a stream."""
    return request_id.encode().ljust(RESPONSE_BYTES, b".")


def event(request_id, number):
    """Return one event of the response to a stream request."""
    return f"id: {number}\ndata: {request_id}\n\n".encode()


async def read_request(reader):
    """Return the path, the fields by lower-case name, and the body of a request."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    request_line, *lines = head.split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines if line)
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return request_line.split()[1], fields, body


def request_head(request, length):
    """Return the request line and header of a client's request."""
    kind, feature = request.kind, request.feature or ""
    fields = {
        "Host": HOST,
        names.ATTEMPT_ID: request.id,
        names.DEADLINE: str(int(kind.deadline_seconds * 1000)),
        "Content-Length": str(length),
    }
    if kind is RequestKind.STEPS:
        fields[names.CHUNKS] = ",".join(map(str, STEP_PIECES))
        fields[names.CHUNK_KEY] = request.id
    path = f"/{feature or kind}/x"
    if feature.startswith("key-"):
        path = f"/{KEYED_ROUTE}/x"
        fields["Authorization"] = f"Bearer {feature}"
    lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
    return "\r\n".join((*lines, "", "")).encode()


def configuration(
    number,
    call_seconds=0.05,
    features=frozenset(),
    timeout_factor=1.0,
    idle_seconds=30.0,
):
    """Return the document of a version of the configuration.

    It has a route for each kind of request, and the routes and keys of `features`.
    `call_seconds` is the duration of a call that runs pieces of steps.
    """
    keys = sorted(f for f in features if f.startswith("key-"))
    added = sorted(frozenset(features).difference(keys))
    routes = [
        *(_route(kind, kind) for kind in DIRECT_KINDS),
        *(_route(name, RequestKind.SAFE) for name in added),
        _route(KEYED_ROUTE, RequestKind.SAFE) | {"isPublic": False},
        _route_with_steps(),
    ]
    for route in routes:
        route["timeoutMs"] *= timeout_factor
    return {
        "version": number,
        "routes": routes,
        "services": [
            {"name": ENGINES, "healthPath": "/healthz", "maxConns": 200},
            {
                "name": STEP_SERVICE,
                "healthPath": "/healthz",
                "maxConns": 200,
                "segments": {
                    "slots": 1,
                    "queue": 2,
                    "batch": 2,
                    "callMs": call_seconds * 1000,
                    "itemMs": 1,
                    "headroomMb": 10,
                    "handleTtlS": 20,
                    "linkMbps": 1000,
                },
            },
        ],
        "tenants": [{"name": "acme", "apiKeys": keys}],
        "limits": {"idleTimeoutMs": idle_seconds * 1000},
    }


def upstream_entry(address, state="ready", service=ENGINES):
    """Return the spec of an upstream's entry in the store."""
    return {
        "service": service,
        "address": address,
        "zone": "dc-1",
        "version": "v1",
        "slots": 8,
        "state": state,
        "coldLeftMs": 0.0,
        "seqNo": 1,
        "born": 1,
    }


def _route(name, kind):
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": f"/{name}/",
        "routeKind": kind,
        "timeoutMs": kind.deadline_seconds * 1000,
        "sloMs": 500,
        "service": ENGINES,
        "maxAttempts": 2,
        "isPublic": True,
    }


def _route_with_steps():
    step = {"service": STEP_SERVICE, "byteCount": RESULT_BYTES}
    return _route(RequestKind.STEPS, RequestKind.STEPS) | {
        "routeKind": RequestKind.STREAM,
        "sloMs": STEPS_TARGET_SECONDS * 1000,
        "stages": [step | {"after": []}, step | {"after": [0]}],
    }
