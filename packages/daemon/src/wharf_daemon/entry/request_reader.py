"""Parsing and validation of callers' HTTP requests."""

import asyncio
import json
import math
import re

from aiohttp import web
from result import Err, Ok, Result

from wharf_coordination import Code, Deadline, Priority, Refusal
from wharf_daemon.entry.request import Request

__all__ = ["RequestReader"]

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Deadline-Seconds"
PRIORITY_HEADER = "Priority"
CUSTOMER_HEADER = "Customer"
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
STREAM_TYPE = "text/event-stream"


class RequestReader:
    """Parse HTTP requests and refuse invalid ones."""

    def __init__(self, feed, max_body):
        self._feed = feed
        self._max_body = max_body

    async def read(self, http, request_id, now) -> Result[Request, Refusal]:
        """Return the request in `http`; its deadline is relative to `now`."""
        name = http.match_info["name"]
        document = self._feed.document
        pipeline = document.folder.pipelines.get(name)
        if document.revision == 0:
            return _refuse(Code.NOT_CONFIGURED, "no configuration received yet")
        if pipeline is None:
            return _refuse(Code.UNKNOWN_PIPELINE, f"pipeline {name!r}")
        customer = http.headers.get(CUSTOMER_HEADER, "")
        if customer not in document.folder.customers:
            return _refuse(Code.UNKNOWN_CUSTOMER, f"{CUSTOMER_HEADER}: {customer!r}")
        key = http.headers.get(KEY_HEADER)
        if key is not None and not KEY_PATTERN.fullmatch(key):
            return _refuse(Code.BAD_HEADER, f"{KEY_HEADER}: {key!r}")
        try:
            priority = Priority.from_name(
                http.headers.get(PRIORITY_HEADER, pipeline.priority)
            )
        except ValueError as error:
            return _refuse(Code.BAD_HEADER, f"{PRIORITY_HEADER}: {error}")
        deadline = self._read_deadline(http, pipeline)
        if deadline.is_err():
            return deadline
        body = await self._read_body(http, deadline.unwrap())
        if body.is_err():
            return body
        return Ok(
            Request(
                id=request_id,
                pipeline=name,
                customer=customer,
                priority=priority,
                deadline=Deadline.after(deadline.unwrap(), now),
                key=key,
                streaming=STREAM_TYPE in http.headers.get("Accept", ""),
                body=body.unwrap(),
            )
        )

    def _read_deadline(self, http, pipeline):
        text = http.headers.get(DEADLINE_HEADER, str(pipeline.default_deadline))
        try:
            seconds = float(text)
        except ValueError:
            return _refuse(Code.BAD_DEADLINE, f"{DEADLINE_HEADER}: {text!r}")
        if not math.isfinite(seconds) or not 0 < seconds <= pipeline.max_deadline:
            expected = f"expected 0 < seconds <= {pipeline.max_deadline}"
            return _refuse(
                Code.BAD_DEADLINE, f"{DEADLINE_HEADER}: {text!r}, {expected}"
            )
        return Ok(seconds)

    async def _read_body(self, http, seconds):
        try:
            async with asyncio.timeout(seconds):
                body = await http.read()
        except TimeoutError:
            return _refuse(Code.DEADLINE_PASSED, "body not received in time")
        except web.HTTPRequestEntityTooLarge:
            return _refuse(Code.BODY_TOO_LARGE, f"more than {self._max_body} bytes")
        except web.RequestPayloadError as error:
            return _refuse(Code.BAD_BODY, str(error))
        try:
            json.loads(body.decode(), parse_constant=_refuse_constant)
        except ValueError as error:
            return _refuse(Code.BAD_BODY, f"body is not JSON: {error}")
        except RecursionError:
            return _refuse(Code.BAD_BODY, "body is nested too deeply")
        return Ok(body)


def _refuse_constant(name):
    raise ValueError(f"{name} is not a JSON value")


def _refuse(code, detail):
    return Err(Refusal.not_run(code, detail))
