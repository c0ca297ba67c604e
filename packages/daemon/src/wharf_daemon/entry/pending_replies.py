"""Requests to sidecars that await a reply."""

import asyncio
from itertools import count

__all__ = ["PendingReplies"]


class PendingReplies:
    """Send messages over links and match replies to them by id."""

    def __init__(self, name):
        self._name = name
        self._numbers = count()
        self._reply_by_id = {}

    def next_id(self):
        """Return a message id that is unique among all entries."""
        return f"{self._name}/{next(self._numbers)}"

    async def request(self, link, message, timeout):
        """Send `message` and return the reply, or None after `timeout` seconds."""
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_id[message.id] = reply
        try:
            async with asyncio.timeout(timeout):
                await link.send(message)
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._reply_by_id[message.id]

    def resolve(self, message):
        """Complete the request that `message` replies to, if it is pending."""
        reply = self._reply_by_id.get(message.id)
        if reply is not None and not reply.done():
            reply.set_result(message)
