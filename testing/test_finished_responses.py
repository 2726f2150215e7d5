"""What a host keeps of a response that has been sent."""

from __future__ import annotations

import asyncio
import gc

import pytest

from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import Responder
from testing._limited_host import LimitedHost
from testing._limited_host import MemoryCaller

BODY_BYTES = 4 << 20
ANSWERS = 3


# Guards against bodies of finished responses that fill the memory until they are collected.
@pytest.mark.asyncio
async def test_body_is_given_up_when_the_response_has_been_sent() -> None:
    async def serve(_request: CallerRequest, responder: Responder) -> None:
        body = b"x" * BODY_BYTES
        await responder.respond(status=200, reason="OK", headers=[], body=body)

    host = LimitedHost(serve=serve)
    gc.collect()
    gc.disable()
    try:
        caller = host.accept(MemoryCaller())
        for number in range(1, ANSWERS + 1):
            await caller.send(b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
            while len(caller.received) < number * BODY_BYTES:
                await asyncio.sleep(0)
        caller.received = b""
        await asyncio.sleep(0.01)
        kept = [one for one in gc.get_objects() if _has_body(one)]
    finally:
        gc.enable()
    assert not kept


def _has_body(container: object) -> bool:
    return any(
        isinstance(one, bytes) and len(one) == BODY_BYTES for one in gc.get_referents(container)
    )
