"""Messages to sidecars that wait for their reply."""

import asyncio
from itertools import count

__all__ = ["PendingReplies"]


class PendingReplies:
    """Send messages over links and hand each its reply by id."""

    def __init__(self, name):
        self._name = name
        self._numbers = count()
        self._reply_by_id = {}

    def next_id(self):
        """Return an id that no other message of any entry has."""
        return f"{self._name}/{next(self._numbers)}"

    async def ask(self, link, message, seconds):
        """Return the reply to `message`, or None if none came in time."""
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_id[message.id] = reply
        try:
            async with asyncio.timeout(seconds):
                await link.send(message)
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._reply_by_id[message.id]

    def resolve(self, message):
        """Hand a reply to the one that waits for it, if any does."""
        reply = self._reply_by_id.get(message.id)
        if reply is not None and not reply.done():
            reply.set_result(message)
