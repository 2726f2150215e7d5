"""Helpers shared by the stand-in processes: serving, graceful shutdown and JSON bodies."""

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
JSON_CONTENT_TYPE = "application/json"

_Body = TypeVar("_Body")


def run_main(main: Callable[..., None]) -> None:
    """Call a module's main function with the options of the command line.

    :param main: Function whose parameters are the options.
    :raises SystemExit: When the command line contains an unknown option.
    """
    # Fire calls the function before it reports an unknown option.
    parameters = inspect.signature(main, eval_str=True).parameters
    command = []
    for argument in sys.argv[1:]:
        flag, equals, value = argument.partition("=")
        name = flag.removeprefix("--").replace("-", "_")
        if argument.startswith("--") and name not in (*parameters, "help", ""):
            sys.exit(f"unknown option {argument!r}; valid options: {', '.join(parameters)}")
        # Fire parses a value such as "1e3" or "a,b" as a Python literal unless it is quoted.
        is_text = bool(equals) and parameters[name].annotation is str
        command.append(f"{flag}={value!r}" if is_text else argument)
    fire.Fire(main, command=command)


async def serve(*, app: web.Application, port: int, cancel_handlers: bool = True) -> None:
    """Serve until SIGTERM or SIGINT, and print the listening address on standard output.

    :param app: Application to serve.
    :param port: Port on the loopback address; 0 selects a free one.
    :param cancel_handlers: Whether a handler is cancelled when its caller disconnects.
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
    """Return a response with a JSON body.

    :param body: Struct or plain data that msgspec can encode.
    :param status: HTTP status code.
    """
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type=JSON_CONTENT_TYPE
    )


async def read_json(request: web.Request, kind: type[_Body]) -> _Body:
    """Return the body of a request, decoded to a struct.

    :param request: Request to read.
    :param kind: Type of the body; an empty body is decoded as ``{}``.
    :raises web.HTTPBadRequest: When the body does not match the type.
    """
    try:
        return msgspec.json.decode(await request.read() or b"{}", type=kind)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def abort_connection(request: web.Request) -> None:
    """Close the connection of a request immediately, without a response.

    :param request: Request whose connection is closed.
    """
    if request.transport is not None:
        request.transport.abort()


async def cancel_task(task: asyncio.Task[Any]) -> None:
    """Cancel a task and wait for its end.

    :param task: Task to cancel.
    """
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
