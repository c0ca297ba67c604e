"""HTTP client of a sidecar's upstream."""

from dataclasses import dataclass

import aiohttp

from wharf_coordination import Code, Refusal
from wharf_daemon.sidecar.stream_line import StreamLine
from wharf_wire.limits import CHUNK_BYTES

__all__ = ["UpstreamClient", "UpstreamError", "upstream_session"]

ATTEMPT_HEADER = "Attempt"
REQUEST_HEADER = "Request"
VERSION_HEADER = "Version"
CUSTOMER_HEADER = "Customer"
PRIORITY_HEADER = "Priority"
RESUME_HEADER = "Resume-From"
PIPELINE_HEADER = "Pipeline"
STAGE_HEADER = "Stage"
INCARNATION_HEADER = "Incarnation"
PROBE_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True)
class UpstreamError(Exception):
    """Raised when the upstream returns no complete answer."""

    refusal: Refusal


def upstream_session():
    """Return a session in which each call has a connection of its own.

    Answers of upstreams don't name the attempt that they belong to. On a connection
    that is used again, a late second answer would be taken for that to the next call.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    return aiohttp.ClientSession(connector=connector, auto_decompress=False)


class UpstreamClient:
    """Send calls to one upstream and stream the answers."""

    def __init__(self, session, base_url, on_incarnation):
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._on_incarnation = on_incarnation

    async def run(self, call):
        """Yield the chunks of the answer to `call`.

        Raises UpstreamError if the answer is refused, fails or is incomplete.
        """
        timeout = aiohttp.ClientTimeout(total=call.time_left)
        path = "/v1/stream" if call.streaming else "/v1/run"
        try:
            async with self._session.post(
                self._base_url + path,
                data=call.body,
                headers=self._headers(call),
                timeout=timeout,
            ) as response:
                self._on_incarnation(response.headers.get(INCARNATION_HEADER, ""))
                self._check_status(response)
                if not call.streaming:
                    async for part in response.content.iter_chunked(CHUNK_BYTES):
                        yield part
                    return
                async for chunk in self._chunks(response):
                    yield chunk
        except aiohttp.ClientConnectorError as error:
            failure = Refusal.not_run(Code.UPSTREAM_FAILED, str(error))
            raise UpstreamError(failure) from error
        except TimeoutError as error:
            failure = Refusal.unknown(Code.DEADLINE_PASSED, "upstream timed out")
            raise UpstreamError(failure) from error
        except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
            raise UpstreamError(self._crash_refusal(error)) from error
        except aiohttp.ClientPayloadError as error:
            raise UpstreamError(self._crash_refusal(error)) from error
        except (aiohttp.ClientError, ValueError) as error:
            failure = Refusal.unknown(Code.UPSTREAM_FAILED, repr(error))
            raise UpstreamError(failure) from error

    async def is_answering(self):
        """Return whether the upstream answers HTTP requests at all."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        url = f"{self._base_url}/v1/load"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                return 200 <= response.status <= 599
        except (aiohttp.ClientError, TimeoutError):
            return False

    def _headers(self, call):
        return {
            ATTEMPT_HEADER: call.attempt,
            REQUEST_HEADER: call.request,
            VERSION_HEADER: call.version,
            CUSTOMER_HEADER: call.customer,
            PRIORITY_HEADER: str(int(call.priority)),
            RESUME_HEADER: str(call.resume_from),
            PIPELINE_HEADER: call.pipeline,
            STAGE_HEADER: call.stage,
        }

    def _crash_refusal(self, error):
        return Refusal.unknown(Code.UPSTREAM_CRASHED, repr(error))

    def _check_status(self, response):
        if response.status == 200:
            return
        detail = f"upstream answered status {response.status}"
        if response.status in (429, 503):
            raise UpstreamError(Refusal.not_run(Code.UPSTREAM_FULL, detail))
        raise UpstreamError(Refusal.unknown(Code.UPSTREAM_FAILED, detail))

    async def _chunks(self, response):
        count = 0
        async for line in response.content:
            part = StreamLine.model_validate_json(line)
            if part.end is not None:
                self._check_count(count, part.end)
                return
            count += 1
            yield part.text.encode()
        raise UpstreamError(
            Refusal.unknown(Code.ANSWER_BROKEN, "stream ended without its final line")
        )

    def _check_count(self, count, declared):
        if count != declared:
            detail = f"stream declares {declared} chunks but has {count}"
            raise UpstreamError(Refusal.unknown(Code.ANSWER_BROKEN, detail))
