"""One request of a search and what its caller got."""

from dataclasses import dataclass

__all__ = ["Exchange"]


@dataclass
class Exchange:
    """A request and its response; times are those of the event loop.

    The body is the number `note` and `padding` spaces.

    `read_by` is the time from which an entry could begin with the request, `sent_at`
    the one at which its last byte was sent, `slow` the seconds for which its caller
    neither sent nor read. `status` is 0 without a response. `is_whole` says whether the
    response came to its end, `is_last` that it is the connection's last one; requests
    behind it are `is_unread`.
    """

    note: int
    pipeline: str
    streaming: bool
    deadline: float
    key: str = ""
    padding: int = 0
    read_by: float = 0.0
    sent_at: float | None = None
    slow: float = 0.0
    answered_at: float = 0.0
    status: int = 0
    request_id: str = ""
    text: str = ""
    is_whole: bool = False
    is_last: bool = False
    is_unread: bool = False
    left: bool = False

    def body(self):
        """Return the body of the HTTP request."""
        return str(self.note).encode() + b" " * self.padding

    def head(self, customer):
        """Return the head of the HTTP request."""
        lines = [
            f"POST /v1/pipelines/{self.pipeline} HTTP/1.1",
            "Host: entry",
            f"Customer: {customer}",
            f"Deadline-Seconds: {self.deadline}",
            f"Content-Length: {len(self.body())}",
        ]
        if self.streaming:
            lines.append("Accept: text/event-stream")
        if self.key:
            lines.append(f"Idempotency-Key: {self.key}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()
