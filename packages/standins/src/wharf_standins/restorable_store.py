"""Stand-in of the platform's store that can come back from a copy."""

import asyncio
import json
from copy import deepcopy
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from wharf_adapter import names
from wharf_gateway.http.headers import Headers
from wharf_gateway.http.http_call_error import HttpCallError
from wharf_gateway.http.response_head import ResponseHead

__all__ = ["RestorableStore", "StoreHistory"]

ANSWER_SECONDS = 0.004


@dataclass
class StoreHistory:
    """Objects by kind and name, and the events that led to them."""

    revision: int = 0
    objects_by_kind: dict = field(default_factory=dict)
    events_by_kind: dict = field(default_factory=dict)


class RestorableStore:
    """Store objects in memory, and answer the connections that it opens.

    With `era` None it has no eras. `calls` has the time, caller, path and status of
    each call. Watches that wait when the store goes away or is restored are broken; if
    `keeps_watches`, they hang when it goes away and wait on when it is restored. No
    caller in `cut` gets an answer. Answers take `answer_seconds`.
    """

    def __init__(self, era=1, page_size=500, keeps_watches=False):
        self.era = era
        self.history = StoreHistory()
        self.page_size = page_size
        self.keeps_watches = keeps_watches
        self.is_away = False
        self.is_mute = False
        self.cut = set()
        self.calls = []
        self.answer_seconds = ANSWER_SECONDS
        self._interruptions = 0
        self._silences = 0
        self._changed = asyncio.Event()

    def contents(self, kind):
        """Return the contents of the objects of a kind, by name."""
        objects = self.history.objects_by_kind.get(kind, {})
        return {name: stored["spec"] for name, stored in objects.items()}

    def write(self, kind, name, spec):
        """Create or replace an object; delete it if `spec` is None."""
        history = self.history
        history.revision += 1
        metadata = {"name": name, "revision": history.revision}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        history.objects_by_kind.setdefault(kind, {}).pop(name, None)
        if spec is not None:
            history.objects_by_kind[kind][name] = stored
        event = {"object": stored, "isGone": spec is None}
        history.events_by_kind.setdefault(kind, []).append((history.revision, event))
        if not self.is_mute:
            self._wake()

    def copy(self):
        """Return a copy from which the store can be restored."""
        return deepcopy(self.history)

    def silence(self):
        """Never answer the watches that wait now, without breaking them."""
        self._silences += 1

    def go_away(self):
        """Answer no more calls until the store is restored."""
        self.is_away = True
        self._interrupt()

    def restore(self, history):
        """Come back from a copy, in a new era."""
        self.history = deepcopy(history)
        self.is_away = False
        if self.era is not None:
            self.era += 1
        self._interrupt()

    def _interrupt(self):
        if not self.keeps_watches:
            self._interruptions += 1
        if not self.is_mute:
            self._wake()

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def connection(self, caller):
        """Return a connection of a caller to the store."""
        return _Connection(self, caller)

    async def answer(self, caller, method, path, body):
        """Return status, headers and body of the answer to a call.

        Raises `HttpCallError` if the connection is broken instead.
        """
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix(f"{names.OBJECTS_PATH}/").partition("/")
        await asyncio.sleep(self.answer_seconds / 2)
        while caller in self.cut:
            await asyncio.sleep(1.0)
        if self.is_away:
            status, document = 503, {}
        elif method != "GET":
            status, document = self._change(
                method, kind, name, json.loads(body or "{}")
            )
        elif "watch" in query:
            seconds = int(query["waitMs"]) / 1000
            status, document = await self._watch(kind, int(query["watch"]), seconds)
        else:
            status, document = 200, self._page(kind, query.get("after", ""))
        era = self.era
        now = asyncio.get_running_loop().time()
        self.calls.append((now, caller, path, status))
        await asyncio.sleep(self.answer_seconds / 2)
        fields = () if era is None else ((names.STORE_ERA, str(era)),)
        return ResponseHead(status, Headers(fields)), json.dumps(document).encode()

    def _change(self, method, kind, name, document):
        """Write an object, or refuse if it exists or has another revision."""
        metadata = document.get("metadata", {})
        name = name or metadata["name"]
        known = self.history.objects_by_kind.get(kind, {}).get(name)
        revision = metadata.get("revision")
        if method == "POST" and known is not None:
            return 409, known
        if revision is not None and known is None:
            return 404, {}
        if revision is not None and known["metadata"]["revision"] != revision:
            return 409, known
        self.write(kind, name, document.get("spec"))
        return 200, self.history.objects_by_kind[kind].get(name, {})

    def _page(self, kind, after):
        objects = self.history.objects_by_kind.get(kind, {})
        following = sorted(name for name in objects if name > after)
        return {
            "entries": [objects[name] for name in following[: self.page_size]],
            "hasMore": len(following) > self.page_size,
            "asOf": self.history.revision,
        }

    async def _watch(self, kind, revision, seconds):
        interruptions, silences = self._interruptions, self._silences
        try:
            async with asyncio.timeout(seconds):
                while True:
                    if interruptions != self._interruptions:
                        raise HttpCallError("watch broken", was_sent=True)
                    if not self.is_away and revision > self.history.revision:
                        return 410, {}
                    events = self._events(kind, revision)
                    if events and not self.is_away:
                        break
                    await self._changed.wait()
        except TimeoutError:
            events = []
        if silences != self._silences:
            await asyncio.Event().wait()
        return 200, {"events": events, "asOf": self.history.revision}

    def _events(self, kind, revision):
        events = self.history.events_by_kind.get(kind, ())
        return [event for number, event in events if number > revision]


class _Connection:
    """One connection of a caller, as `ConnectionPool` would return it."""

    def __init__(self, store, caller):
        self._store = store
        self._caller = caller
        self._task = None

    def send(self, head, body):
        method, path, _ = head.decode().split(" ", 2)
        answer = self._store.answer(self._caller, method, path, body)
        self._task = asyncio.create_task(answer)

    async def head(self):
        return (await self._task)[0]

    async def body(self):
        return (await self._task)[1]

    def close(self):
        if self._task is not None:
            self._task.cancel()
