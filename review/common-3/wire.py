"""HTTP/1.1 helpers of the stand-ins: reading requests and answers, writing answers."""

import asyncio
import json

__all__ = ["Message", "answer_bytes", "read_message", "request_bytes"]


class Message:
    """The first line, header fields (lower case) and body of a request or an answer."""

    def __init__(self, line, fields, body):
        self.line = line
        self.fields = fields
        self.body = body

    @property
    def status(self):
        """Return the status of an answer."""
        return int(self.line.split()[1])

    def document(self):
        """Return the JSON body."""
        return json.loads(self.body or b"{}")


async def read_head(reader):
    """Return the first line and the fields of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for item in lines:
        name, _, value = item.partition(":")
        fields[name.strip().lower()] = value.strip()
    return line, fields


async def read_line(reader):
    """Return a whole line."""
    return await reader.readuntil(b"\n")


async def read_message(reader):
    """Return the next request or answer, with its whole body."""
    line, fields = await read_head(reader)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await read_line(reader)).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return Message(line, fields, b"".join(parts))
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Message(line, fields, body)


def request_bytes(method, target, fields, body=b""):
    """Return a request with a length."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in fields)]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body


def answer_bytes(status, fields=(), body=b""):
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in fields)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body


async def serve(handler, host, port):
    """Start a server whose `handler(reader, writer)` may end by a lost connection."""

    async def run(reader, writer):
        try:
            await handler(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            pass  # the case has ended
        finally:
            writer.close()

    return await asyncio.start_server(run, host, port, limit=1 << 20, backlog=512)
