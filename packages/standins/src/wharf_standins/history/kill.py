"""Abrupt termination of daemons that run in the process of a test."""

import asyncio

__all__ = ["cut_link", "kill_entry", "kill_sidecar"]


async def kill_entry(entry):
    """Terminate an entry at once, as if its host had failed.

    The session is closed first, so that cancelled tasks cannot write to the store.
    """
    server = entry._callers._runner.server
    if server is None:
        return
    for connection in tuple(server.connections):
        if connection.transport:
            connection.transport.abort()
    for link in entry.links.by_address.values():
        cut_link(link)
    await entry._session.close()
    tasks = (entry._store_watcher, entry._rollout_task)
    for task in tasks:
        task.cancel()
    entry.links.close()
    await asyncio.gather(*tasks, return_exceptions=True)
    await entry._callers.stop()
    await entry._operators.stop()


async def kill_sidecar(sidecar):
    """Terminate a sidecar at once, together with its calls to the upstream."""
    sidecar._server.close(close_connections=False)
    for link in tuple(sidecar.links):
        link._socket.transport.abort()
    await sidecar._session.close()
    sidecar._reporter.cancel()
    await sidecar._operators.stop()


def cut_link(link):
    """Abort the connection of an entry's link, if it is open."""
    if link._socket:
        link._socket.transport.abort()
