"""Configurations of a play, each with one change against the one before."""

from copy import deepcopy

from wharf_standins.promise.play_request import RequestKind

__all__ = ["HOST", "KEYS", "SERVICES", "STEP_SERVICE", "change", "first_configuration"]

HOST = "play.example"
KEYS = ("key-a", "key-b")
SERVICES = ("engines", "others")
STEP_SERVICE = "encoders"


def first_configuration():
    """Return the document of the first version."""
    return {
        "version": 1,
        "routes": [_route(kind) for kind in RequestKind],
        "services": [
            *(_service(name) for name in SERVICES),
            _service(STEP_SERVICE)
            | {
                "segments": {
                    "slots": 1,
                    "queue": 2,
                    "batch": 2,
                    "callMs": 50,
                    "itemMs": 1,
                    "headroomMb": 10,
                    "handleTtlS": 20,
                }
            },
        ],
        "tenants": [{"name": "acme", "apiKeys": list(KEYS)}],
        "limits": {"idleTimeoutMs": 3000, "headerTimeoutMs": 3000},
    }


def change(document, rng):
    """Return the next version, and what it changes."""
    document = deepcopy(document)
    document["version"] += 1
    routes, services = document["routes"], document["services"]
    route = rng.choice(routes) if routes else None
    known = {route["name"] for route in routes}
    missing = [kind for kind in RequestKind if kind not in known]
    kind = rng.choice(
        ["timeout", "route", "target", "weights", "service", "key", "idle", "sizes"]
    )
    match kind:
        case "route" if missing:
            routes.append(_route(missing[0]))
        case "route":
            routes.remove(route)
        case "timeout" if route:
            route["timeoutMs"] = rng.choice([1000, 2000, 4000, 8000])
        case "target" if route:
            route.pop("split", None)
            route["service"] = rng.choice(SERVICES)
        case "weights" if route:
            route.pop("service", None)
            weights = [(name, rng.choice([0, 1, 9])) for name in SERVICES]
            route["split"] = [{"service": n, "weight": w} for n, w in weights]
        case "service":
            name = rng.choice([*SERVICES, STEP_SERVICE])
            others = [s for s in services if s["name"] != name]
            if len(others) == len(services):
                whole = first_configuration()["services"]
                others += [s for s in whole if s["name"] == name]
            document["services"] = others
        case "key":
            keys = rng.sample(KEYS, rng.randint(0, len(KEYS)))
            document["tenants"] = [{"name": "acme", "apiKeys": keys}]
        case "idle":
            document["limits"]["idleTimeoutMs"] = rng.choice([300, 1000, 3000, 30000])
            document["limits"]["headerTimeoutMs"] = rng.choice([300, 1000, 10000])
        case "sizes":
            document["limits"]["maxHeaderBytes"] = rng.choice([250, 1000, 16384])
            document["limits"]["maxBodyBytes"] = rng.choice([10, 1000, 1 << 20])
    return document, kind


def _service(name):
    return {"name": name, "healthPath": "/healthz", "maxConns": 200}


def _route(kind):
    route = {
        "name": str(kind),
        "hostname": HOST,
        "pathPrefix": f"/{kind}/",
        "routeKind": "safe" if kind is RequestKind.KEYED else str(kind),
        "timeoutMs": 8000,
        "sloMs": 500,
        "service": SERVICES[0],
        "maxAttempts": 3,
        "isPublic": kind is not RequestKind.KEYED,
    }
    if kind.is_stream:
        route |= {"routeKind": "stream", "itlTargetMs": 50}
        route["isResumable"] = kind is RequestKind.RESUMABLE
    if kind is RequestKind.STEPS:
        step = {"service": STEP_SERVICE, "byteCount": 1000}
        route["stages"] = [step | {"after": []}, step | {"after": [0]}]
    return route
