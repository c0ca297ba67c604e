"""The head of requests that the gateway makes itself."""

__all__ = ["request_head"]


def request_head(method, path, host, fields, length):
    """Return the head of an HTTP/1.1 request with a JSON body of `length` bytes."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if length:
        lines += ["Content-Type: application/json", f"Content-Length: {length}"]
    return "\r\n".join((*lines, "", "")).encode("latin-1")
