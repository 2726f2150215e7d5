"""Stand-in of a plain booking service, which executes every call, including repeated ones."""

from __future__ import annotations

import asyncio
from collections import Counter
from enum import StrEnum
from enum import unique
import itertools
from typing import final

from aiohttp import web
import msgspec
from msgspec import Struct

from standins._common import abort_connection
from standins._common import json_response
from standins._common import read_json
from standins._common import run_main
from standins._common import serve
from standins.journal import Execution
from standins.journal import Journal
from tanagerscale.core import Clock

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


@unique
class ServiceFaultMode(StrEnum):
    """Faults that can be injected into bookings."""

    NONE = "none"
    FAIL_BEFORE = "fail_before"
    """Returns status 500 without an execution."""
    FAIL_AFTER = "fail_after"
    """Returns status 500 after the execution."""
    CUT_BEFORE = "cut_before"
    """Aborts the connection without an execution."""
    CUT_AFTER = "cut_after"
    """Aborts the connection after the execution."""
    HANG_AFTER = "hang_after"
    """Sends no response after the execution."""
    REFUSE = "refuse"
    """Returns status 503 without an execution."""


class ServiceFault(Struct, frozen=True, kw_only=True):
    """Body of ``POST /admin/fault``.

    :param mode: Fault to inject.
    :param count: Number of bookings affected; 0 means all.
    :param delay_ms: Delay before a booking is executed, in milliseconds.
    :param answer_delay_ms: Delay of the response after the execution, in milliseconds.
    """

    mode: ServiceFaultMode = ServiceFaultMode.NONE
    count: int = 0
    delay_ms: int = 0
    answer_delay_ms: int = 0


class Booking(Struct, frozen=True, kw_only=True):
    """One executed booking.

    :param number: Sequence number at this service, from 1.
    :param id: The body's ``id``, or else the idempotency key.
    :param body: Body of the request.
    """

    number: int
    id: str
    body: str


class BookingBody(Struct, frozen=True, kw_only=True):
    """The part of a booking's body that the service reads.

    :param id: Name that the caller gives to the booking.
    """

    id: str = ""


class Executions(Struct, frozen=True, kw_only=True):
    """Body of ``GET /admin/executions``.

    :param by_id: Number of executions of each booking, by id.
    :param by_key: Number of executions of the bookings with an idempotency key, by key.
    :param total: Number of executed bookings.
    :param received: Number of bookings received, executed or not.
    """

    by_id: dict[str, int]
    by_key: dict[str, int]
    total: int
    received: int


class Echo(Struct, frozen=True, kw_only=True):
    """Response of all other paths: the request as received."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: str


@final
class ServiceServer:
    """HTTP server of one booking service.

    :param journal: File to which executions are appended; empty for none.
    """

    def __init__(self, *, journal: str = "") -> None:
        self._journal = Journal(path=journal)
        self._clock = Clock()
        self._fault = ServiceFault()
        self._remaining_faults = 0
        self._bookings: list[Booking] = []
        self._by_key: Counter[str] = Counter()
        self._received = 0
        self._numbers = itertools.count(1)

    def app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
        app.add_routes(
            [
                web.post("/bookings", self._book),
                web.get("/bookings", self._get_bookings),
                web.post("/admin/fault", self._set_fault),
                web.get("/admin/executions", self._get_executions),
                web.route("*", "/{path:.*}", self._echo),
            ]
        )
        return app

    async def _book(self, request: web.Request) -> web.Response:
        body = await request.text()
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        self._received += 1
        fault = self._next_fault()
        await self._clock.sleep(fault.delay_ms)
        match fault.mode:
            case ServiceFaultMode.FAIL_BEFORE:
                raise web.HTTPInternalServerError
            case ServiceFaultMode.REFUSE:
                raise web.HTTPServiceUnavailable
            case ServiceFaultMode.CUT_BEFORE:
                abort_connection(request)
                return web.Response()
            case _:
                pass
        booking = self._execute(body, key)
        await self._clock.sleep(fault.answer_delay_ms)
        match fault.mode:
            case ServiceFaultMode.FAIL_AFTER:
                raise web.HTTPInternalServerError
            case ServiceFaultMode.CUT_AFTER:
                abort_connection(request)
            case ServiceFaultMode.HANG_AFTER:
                await asyncio.Event().wait()
            case _:
                pass
        return json_response(booking, status=201)

    def _execute(self, body: str, key: str) -> Booking:
        try:
            name = msgspec.json.decode(body or b"{}", type=BookingBody).id
        except msgspec.DecodeError:
            name = ""
        self._journal.record(Execution(id=key, tag=name))
        booking = Booking(number=next(self._numbers), id=name or key, body=body)
        self._bookings.append(booking)
        if key:
            self._by_key[key] += 1
        return booking

    def _next_fault(self) -> ServiceFault:
        if not self._fault.count:
            return self._fault
        if not self._remaining_faults:
            return ServiceFault()
        self._remaining_faults -= 1
        return self._fault

    async def _get_bookings(self, _request: web.Request) -> web.Response:
        return json_response(self._bookings)

    async def _set_fault(self, request: web.Request) -> web.Response:
        self._fault = await read_json(request, ServiceFault)
        self._remaining_faults = self._fault.count
        return json_response(self._fault)

    async def _get_executions(self, _request: web.Request) -> web.Response:
        by_id = Counter(booking.id for booking in self._bookings)
        return json_response(
            Executions(
                by_id=dict(by_id),
                by_key=dict(self._by_key),
                total=len(self._bookings),
                received=self._received,
            )
        )

    async def _echo(self, request: web.Request) -> web.Response:
        return json_response(
            Echo(
                method=request.method,
                path=request.path,
                query=request.query_string,
                headers=dict(request.headers),
                body=await request.text(),
            )
        )


def main(port: int = 0, journal: str = "") -> None:
    """Run the service.

    :param port: Port on the loopback address; 0 selects a free one.
    :param journal: File to which executions are appended; empty for none.
    """
    # A booking continues when its caller disconnects, as in most real services.
    asyncio.run(_serve(port=port, journal=journal))


async def _serve(*, port: int, journal: str) -> None:
    await serve(app=ServiceServer(journal=journal).app(), port=port, cancel_handlers=False)


if __name__ == "__main__":
    run_main(main)
