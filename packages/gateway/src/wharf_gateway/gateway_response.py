"""A response that the gateway makes itself."""

import json
from dataclasses import dataclass

from wharf_coordination.code import Code
from wharf_gateway.http.headers import Headers

__all__ = ["NOT_RUN_STATUSES", "GatewayResponse"]

# After which a caller that a stopping process refuses may retry at another gateway.
STOPPING_RETRY_SECONDS = 0.1
# Callers take these for the promise that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class GatewayResponse:
    """Status, result code, and the seconds after which a refused caller may retry.

    `detail` is for logs only, as is the `feature` for which a request is in quarantine.
    """

    status: int
    code: Code
    detail: str = ""
    retry_after: float | None = None
    feature: str | None = None

    @classmethod
    def not_run(cls, code, detail="", retry_after=0.5, feature=None):
        """Return the refusal of a request that has not run and will not run."""
        return cls(503, code, detail, retry_after, feature)

    @classmethod
    def stopping(cls):
        """Return the refusal of a request that the stopping process can't finish."""
        return cls.not_run(Code.ENTRY_STOPPING, "stopping", STOPPING_RETRY_SECONDS)

    @property
    def headers(self):
        """Return the header fields of the response."""
        fields = [("Content-Type", "application/json")]
        if self.retry_after is not None:
            fields.append(("Retry-After", f"{self.retry_after:.2f}"))
        return Headers(tuple(fields))

    @property
    def body(self):
        """Return the JSON body of the response."""
        is_not_run = self.status in NOT_RUN_STATUSES or self.status < 500
        content = {
            "code": int(self.code),
            "error": self.code.label,
            "ran": "no" if is_not_run else "unknown",
        }
        return json.dumps(content).encode()
