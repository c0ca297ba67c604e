"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import json
import time
from contextlib import suppress
from urllib.parse import parse_qs, unquote, urlsplit

from wire import answer_bytes, read_message, serve

ANSWER_SECONDS = 0.004
PATH = "/vanillawharf/objects/"


class Store:
    """Keep objects by kind and name; answer lists, watches and writes.

    While it `is_silent` it takes no connections' calls: nothing is answered or done,
    and its own writers (operator, runners) can't write either.
    """

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []
        self.is_silent = False
        self.calls = 0
        self._changed = asyncio.Event()
        self._returned = asyncio.Event()

    async def start(self, host="127.0.0.1"):
        """Listen on a free port; return the address."""
        self._server = await serve(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"{host}:{port}"

    async def write(self, kind, name, spec):
        """Write as the operator or a runner; wait while the store is away."""
        while self.is_silent:
            await self._returned.wait()
        await asyncio.sleep(ANSWER_SECONDS)
        return self._put(kind, name, spec)

    async def delete(self, kind, name):
        """Delete as the operator or a runner; wait while the store is away."""
        while self.is_silent:
            await self._returned.wait()
        await asyncio.sleep(ANSWER_SECONDS)
        self.remove(kind, name)

    def remove(self, kind, name):
        """Remove an object, as the store itself does with entries that lapse."""
        known = self.objects.pop((kind, name), None)
        if known is not None:
            self.revision += 1
            self._note(kind, known, True)

    def go_silent(self):
        """Answer nothing from now on."""
        self.is_silent = True
        self._returned.clear()

    def come_back(self):
        """Answer again."""
        self.is_silent = False
        self._returned.set()

    def _put(self, kind, name, spec, status=None, has_status=False):
        known = self.objects.get((kind, name))
        status = status if has_status else (known or {}).get("status")
        spec = (known or {}).get("spec") if has_status else spec
        if known and known["spec"] == spec and known["status"] == status:
            return known
        self.revision += 1
        made = known["metadata"]["created"] if known else int(time.time() * 1000)
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": made,
            "finalizers": [],
            "isDeleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind, name] = stored
        self._note(kind, stored, False)
        return stored

    def _note(self, kind, stored, is_gone):
        event = {"object": stored, "isGone": is_gone}
        self.events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            self.calls += 1
            if self.is_silent:
                # A connection on which an answer is lost returns nothing further.
                await asyncio.sleep(3600)
            await asyncio.sleep(ANSWER_SECONDS)
            method, target, _ = request.line.split()
            task = asyncio.ensure_future(self._answer(method, target, request))
            status, document = await task
            if self.is_silent:
                await asyncio.sleep(3600)
            body = json.dumps(document).encode()
            fields = (("Content-Type", "application/json"), ("Store-Era", "1"))
            writer.write(answer_bytes(status, fields, body))
            await writer.drain()

    async def _answer(self, method, target, request):
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if not parts.path.startswith(PATH):
            return 404, {}
        kind, *rest = map(unquote, parts.path[len(PATH) :].split("/"))
        if method == "GET" and not rest:
            if "watch" in query:
                return await self._watch(kind, query)
            entries = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            after = query.get("after", "")
            entries = [o for o in entries if o["metadata"]["name"] > after]
            return 200, {"entries": entries, "hasMore": False, "asOf": self.revision}
        return self._one(method, kind, rest, query, request)

    def _one(self, method, kind, rest, query, request):
        document = request.document() if request.body else {}
        metadata = document.get("metadata") or {}
        name = rest[0] if rest else metadata.get("name")
        known = self.objects.get((kind, name))
        if method == "GET":
            return (200, known) if known else (404, {})
        revision = metadata.get("revision", query.get("revision"))
        if method == "POST" and known:
            return 409, known
        if method != "POST" and known is None:
            return 404, {}
        if (
            revision is not None
            and known
            and int(revision) != known["metadata"]["revision"]
        ):
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if rest[1:] == ["status"]:
            return 200, self._put(kind, name, None, document.get("status"), True)
        return 200, self._put(kind, name, document.get("spec"))

    async def _watch(self, kind, query):
        since = int(query["watch"])
        ends = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            if since > self.revision:
                return 410, {}
            found = [e for r, k, e in self.events if r > since and k == kind]
            left = ends - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "asOf": self.revision}
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
