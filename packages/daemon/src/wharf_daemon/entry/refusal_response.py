"""Presentation of refusals to callers."""

from aiohttp import web

from wharf_daemon.entry.http_status import http_status

__all__ = ["CODE_HEADER", "REQUEST_HEADER", "refusal_fields", "refusal_response"]

CODE_HEADER = "Result-Code"
REQUEST_HEADER = "Request-Id"
RETRY_AFTER_HEADER = "Retry-After"
RETRY_AFTER_SECONDS = 1
UNAVAILABLE = 503


def refusal_fields(request_id, refusal):
    """Return the JSON object that describes `refusal`."""
    return {
        "request": request_id,
        "code": int(refusal.code),
        "error": refusal.code.label,
        "ran": refusal.ran,
        "detail": refusal.detail,
    }


def refusal_response(request_id, refusal):
    """Return the HTTP response for a refused request."""
    status = http_status(refusal.code)
    headers = {CODE_HEADER: str(int(refusal.code)), REQUEST_HEADER: request_id}
    if status == UNAVAILABLE:
        headers[RETRY_AFTER_HEADER] = str(RETRY_AFTER_SECONDS)
    fields = refusal_fields(request_id, refusal)
    return web.json_response(fields, status=status, headers=headers)
