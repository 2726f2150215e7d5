"""What every stand-in process shares: serving, graceful stop, JSON bodies."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from typing import Any
from typing import TypeVar

from aiohttp import web
import msgspec

LOOPBACK = "127.0.0.1"
SHUTDOWN_TIMEOUT_S = 0.5
JSON_CONTENT = "application/json"

_Body = TypeVar("_Body")


async def serve(*, app: web.Application, port: int, cancel_handlers: bool = True) -> None:
    """Serve until SIGTERM or SIGINT, and say on standard output where.

    :param app: What is served.
    :param port: Port on the loopback address; 0 takes a free one.
    :param cancel_handlers: Whether a handler ends when its caller hangs up.
    """
    runner = web.AppRunner(
        app,
        access_log=None,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        handler_cancellation=cancel_handlers,
    )
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, port)
    await site.start()
    address = runner.addresses[0]
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    print(f"listening {address[0]}:{address[1]}", flush=True)
    await stopped.wait()
    await runner.cleanup()


def json_response(body: Any, *, status: int = 200) -> web.Response:
    """Return an answer whose body is a struct or plain data.

    :param body: What msgspec can encode.
    :param status: Its HTTP status.
    """
    return web.Response(body=msgspec.json.encode(body), status=status, content_type=JSON_CONTENT)


async def read_json(request: web.Request, kind: type[_Body]) -> _Body:
    """Return a request's body as a struct.

    :param request: The request.
    :param kind: What its body must be.
    :raises web.HTTPBadRequest: When the body is something else.
    """
    try:
        return msgspec.json.decode(await request.read() or b"{}", type=kind)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def cut_connection(request: web.Request) -> None:
    """Close the connection of a request at once, without an answer.

    :param request: The request.
    """
    if request.transport is not None:
        request.transport.abort()


async def end_task(task: asyncio.Task[Any]) -> None:
    """Cancel a task and wait for its end.

    :param task: The task.
    """
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
