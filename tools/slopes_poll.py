"""Measure the cost of polling an engine's load and cache events over HTTP."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import multiprocessing
from multiprocessing.connection import Connection
import time

import aiohttp
from aiohttp import web

from tanagerscale.upstreams import HttpEngineClient

ENGINE_COUNTS = (1, 8, 32)
ROUND_COUNT = 60
US_PER_SECOND = 1_000_000
LOAD_BODY = b'{"running":40,"waiting":2,"used_tokens":51234,"memory_tokens":60000,"age_ms":500}'
EVENTS_BODY = b'{"events":[],"next_sequence":123457}'


@dataclass(frozen=True, kw_only=True, slots=True)
class PollCosts:
    """Cost of one poll.

    :param cpu_us: Processor time to read load and cache events once, in microseconds.
    :param wire_bytes: Size of the HTTP requests and responses, in bytes.
    """

    cpu_us: float
    wire_bytes: float


def measure_poll(engines: int) -> PollCosts:
    """Measure concurrent polls of a number of engines over persistent connections."""
    context = multiprocessing.get_context("spawn")
    parent_pipe, child_pipe = context.Pipe()
    server = context.Process(target=_run_server, args=(child_pipe,))
    server.start()
    costs = asyncio.run(_measure(port=parent_pipe.recv(), engines=engines))
    server.terminate()
    server.join()
    return costs


async def _measure(*, port: int, engines: int) -> PollCosts:
    traffic = _TrafficCounter()
    trace = aiohttp.TraceConfig()
    trace.on_request_headers_sent.append(traffic.on_headers)
    trace.on_request_end.append(traffic.on_end)
    address = f"127.0.0.1:{port}"
    async with aiohttp.ClientSession(trace_configs=[trace]) as session:
        await _read(HttpEngineClient(session=session, address=address))
    async with aiohttp.ClientSession() as session:
        clients = [HttpEngineClient(session=session, address=address) for _ in range(engines)]
        await asyncio.gather(*(_read(client) for client in clients))
        cpu_start = time.process_time()
        for _ in range(ROUND_COUNT):
            await asyncio.gather(*(_read(client) for client in clients))
        cpu_s = time.process_time() - cpu_start
    return PollCosts(
        cpu_us=cpu_s * US_PER_SECOND / (ROUND_COUNT * engines), wire_bytes=traffic.total
    )


async def _read(client: HttpEngineClient) -> None:
    (await client.load()).unwrap()
    (await client.cache_events(after=123_456)).unwrap()


class _TrafficCounter:
    """Counts the bytes of requests and responses, including start lines."""

    def __init__(self) -> None:
        self.total = 0

    async def on_headers(
        self, _session: object, _context: object, sent: aiohttp.TraceRequestHeadersSentParams
    ) -> None:
        """Add the size of a request."""
        line = f"{sent.method} {sent.url.raw_path_qs} HTTP/1.1\r\n\r\n"
        self.total += len(line) + sum(len(k) + len(v) + 4 for k, v in sent.headers.items())

    async def on_end(
        self, _session: object, _context: object, ended: aiohttp.TraceRequestEndParams
    ) -> None:
        """Add the size of a response."""
        headers = ended.response.raw_headers
        body = int(ended.response.headers.get("Content-Length", "0"))
        line = len(b"HTTP/1.1 200 OK\r\n\r\n")
        self.total += line + body + sum(len(k) + len(v) + 4 for k, v in headers)


def _run_server(pipe: Connection) -> None:
    asyncio.run(_serve(pipe))


async def _serve(pipe: Connection) -> None:
    async def load(_request: web.Request) -> web.Response:
        return web.Response(body=LOAD_BODY, content_type="application/json")

    async def events(_request: web.Request) -> web.Response:
        return web.Response(body=EVENTS_BODY, content_type="application/json")

    app = web.Application()
    app.add_routes([web.get("/load", load), web.get("/cache-events", events)])
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    pipe.send(runner.addresses[0][1])
    await asyncio.Event().wait()
