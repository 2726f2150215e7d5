"""What every stand-in process shares: serving, graceful stop, JSON bodies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import inspect
import signal
import sys
from typing import Any
from typing import TypeVar

from aiohttp import web
import fire
import msgspec

LOOPBACK = "127.0.0.1"
SHUTDOWN_TIMEOUT_S = 0.5
JSON_CONTENT = "application/json"

_Body = TypeVar("_Body")


def run_main(main: Callable[..., None]) -> None:
    """Call a module's main function with the options of the command line.

    :param main: Takes the options as its parameters.
    """
    # Fire would run the function first and complain of an unknown option only afterwards.
    known = inspect.signature(main, eval_str=True).parameters
    command = []
    for argument in sys.argv[1:]:
        flag, equals, value = argument.partition("=")
        name = flag.removeprefix("--").replace("-", "_")
        if argument.startswith("--") and name not in (*known, "help", ""):
            sys.exit(f"Unknown option {argument!r}; known are {', '.join(known)}.")
        # Fire would read a text such as "1e3" or "a,b" as Python.
        is_text = bool(equals) and known[name].annotation is str
        command.append(f"{flag}={value!r}" if is_text else argument)
    fire.Fire(main, command=command)


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
