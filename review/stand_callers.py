"""Callers of a deployment: what they send, and what they saw."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count
from pathlib import Path
from typing import Any

from stand_engines import ENGINE_DECLARATION
from stand_engines import World
from stand_hosts import Host
from stand_http1 import Caller
from stand_http1 import Request
from stand_http1 import Response

API_KEY = "key-one"
HOST_NAME = "api.example"
MODELS = "models"
PLAIN = "bookings"
PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""

DEADLINES_MS = {"short": 6_000, "long": 39_000}


def _route(name: str, target_ms: int, priority: int) -> dict[str, Any]:
    return {
        "name": f"r-{name}",
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "kind": "streaming",
        "timeoutMs": DEADLINES_MS[name],
        "targetLatencyMs": target_ms,
        "priority": priority,
        "service": MODELS,
        "attempts": 1,
        "public": False,
        "sessionAffinity": True,
        "resumable": False,
        "gapAimMs": 180,
    }


BOOKING_DEADLINE_MS = 2_500
BOOKING_ROUTE = _route("short", 200, 2) | {
    "name": "r-book",
    "pathPrefix": "/book/",
    "kind": "unsafe",
    "service": PLAIN,
    "timeoutMs": 1_200,
    "sessionAffinity": False,
    "gapAimMs": 0,
}

CONFIGURATION = {
    "version": 7,
    "routes": [_route("short", 1500, 0), _route("long", 1800, 1), BOOKING_ROUTE],
    "services": [
        {
            "name": MODELS,
            "healthPath": "/health",
            "maxConnections": 272,
            "protocol": "h1",
            "tls": False,
            "engine": ENGINE_DECLARATION,
        },
        {
            "name": PLAIN,
            "healthPath": "/health",
            "maxConnections": 96,
            "protocol": "h1",
            "tls": False,
        },
    ],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15_000,
    },
    "tenants": [{"name": "tenant-one", "apiKeys": [API_KEY], "priority": 1}],
}
"""Two kinds of generations and one of bookings, like those of the sheet of rondes-tr."""


@dataclass
class Call:
    """One client attempt.

    :param sent: Seconds since the record began.
    :param attempt: Id of the attempt.
    :param host: Host to which it was sent.
    :param target: Path.
    :param response: What its client saw.
    """

    sent: float
    attempt: str
    host: str
    target: str
    response: Response


class Callers:
    """Sends requests and records what came.

    :param world: The deployment.
    """

    def __init__(self, world: World) -> None:
        self.calls: list[Call] = []
        self.numbers = count(1)
        self._world = world

    async def generate(
        self,
        host: Host,
        caller: Caller,
        *,
        route: str,
        prompt: int,
        most: int,
        body: bytes,
        own_part: str,
    ) -> Call:
        """Send a request for a stream and return what became of it.

        :param host: The host.
        :param caller: Connection to it.
        :param route: Name of the route.
        :param prompt: Length of the prompt in tokens.
        :param most: Longest answer in tokens.
        :param body: Body of the request.
        :param own_part: Id of the part of the prompt that is the request's own.
        """
        fields = {
            "Tanagerscale-Model": "m",
            "Tanagerscale-Token-Usage": f"{prompt},{most}",
            "Tanagerscale-Prompt-Prefix": f"aa01:80,{own_part}:{prompt - 80}",
        }
        target = f"/{route}/draft"
        return await self._send(host, caller, target, DEADLINES_MS[route], fields, body)

    async def book(self, host: Host, caller: Caller) -> Call:
        """Send a plain request that isn't idempotent and return what became of it.

        :param host: The host.
        :param caller: Connection to it.
        """
        return await self._send(host, caller, "/book/room", BOOKING_DEADLINE_MS, {}, b"booking")

    async def _send(
        self,
        host: Host,
        caller: Caller,
        target: str,
        deadline_ms: int,
        fields: dict[str, str],
        body: bytes,
    ) -> Call:
        attempt = f"{next(self.numbers):016x}"
        headers = {
            "Host": HOST_NAME,
            "Tanagerscale-Attempt-Id": attempt,
            **fields,
            "Tanagerscale-Deadline-Remaining": str(deadline_ms),
            "Authorization": f"Bearer {API_KEY}",
        }
        sent = self._world.now()
        response = await caller.call(Request("POST", target, headers, body), deadline_ms / 1000 + 1)
        call = Call(sent, attempt, host.name, target, response)
        self.calls.append(call)
        return call


def write_record(path: Path, world: World, callers: Callers, notes: list[str]) -> None:
    """Write what was sent, answered and run.

    :param path: File to write.
    :param world: The deployment.
    :param callers: The callers.
    :param notes: Lines on the disruption and on what was found.
    """
    lines = [f"note {note}" for note in notes]
    events: list[tuple[float, str]] = []
    for call in callers.calls:
        response = call.response
        end = "whole" if response.complete else "broken off"
        stamp = response.headers.get("tanagerscale-server-stamp", "none")
        body = response.body if len(response.body) <= 80 else response.body[:60] + b".."
        events.append(
            (
                call.sent,
                f"sent {call.attempt} {call.target} to {call.host}: answered {response.status} "
                f"{end}, stamp {stamp}, {len(response.body)} bytes {body!r}",
            )
        )
    for one in world.arrivals:
        ran = "ran" if one.ran else "did not run"
        events.append((one.at, f"at engine {one.engine} {one.attempt} {ran}: {one.ended}"))
    lines += [f"{at:9.3f} {text}" for at, text in sorted(events)]
    path.write_text("\n".join(lines) + "\n")
