"""Callers of a day: an open loop of four kinds of requests from clients in all failure domains."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from math import log
from math import pi
from math import sin
from random import Random
from typing import Final
from typing import final

from standins.platform_day_batch import EVENT_TOKENS
from standins.platform_day_connections import DayConnection
from standins.platform_day_connections import DayRequest
from standins.platform_day_connections import connect
from standins.platform_day_hosts import VirtualAddress
from standins.platform_day_ledger import DayLedger
from standins.platform_day_ledger import now_ms
from standins.platform_day_records import DayCall
from standins.platform_day_sites import ACCOUNTS
from standins.platform_day_sites import DRAFT
from standins.platform_day_sites import FAILING_SHARES
from standins.platform_day_sites import DayKind
from standins.platform_day_sites import DaySite
from tanagerscale.core import MS_PER_SECOND

CONNECT_PAUSE_S: Final = 0.1
WAVE_PERIOD_S: Final = 11.0
WAVE_SWING: Final = 0.15
CHUNKED_SHARE: Final = 0.3
TORN_SHARE: Final = 0.3
LATE_END_SHARE: Final = 0.3
QUERY_SHARE: Final = 0.4
SLOW_CLIENTS: Final = 4
AT_ONCE_SHARE: Final = 0.25
"""Part of the answers after which the client sends another request at once."""
WRONG_HINT_SHARE: Final = 0.15
MAX_RETRIES: Final = 1
RETRY_PART: Final = 1 / 3
"""Part of the time left up to which callers honour a pause."""
PROMISES: Final = frozenset((408, 421, 429, 503))


WORK_MS: Final = (30.0, 0.5, 220.0)


@dataclass(frozen=True, slots=True, eq=False)
class _Client:
    name: str
    zone: str
    key: str
    is_slow: bool
    idle: list[DayConnection]


@final
class DayCallers:
    """Clients that send requests at random times.

    :param address: Address of all hosts.
    :param ledger: Records of the upstreams, which learn from it how long answers are.
    :param rng: Random number generator.
    :param load: Factor of the rates.
    :param site: Clients and kinds of requests.
    """

    def __init__(
        self,
        *,
        address: VirtualAddress,
        ledger: DayLedger,
        rng: Random,
        load: float,
        site: DaySite,
    ) -> None:
        self._kinds = site.kinds
        self.calls: list[DayCall] = []
        self._is_over = False
        self._address = address
        self._ledger = ledger
        self._rng = rng
        self._load = load
        self._open: set[asyncio.Task[None]] = set()
        self._open_at: dict[str, set[DayCall]] = {}
        names = [f"{zone}-{n}" for zone, size in site.zone_clients.items() for n in range(size)]
        slow = rng.sample(names, SLOW_CLIENTS)
        self._clients = [
            _Client(
                name, name.rpartition("-")[0], f"key-{rng.randrange(ACCOUNTS)}", name in slow, []
            )
            for name in names
        ]

    def is_busy(self, host: str) -> bool:
        """Return whether a host has a stream under way whose answer has begun."""
        calls = self._open_at.get(host, ())
        return any(call.status and call.kind == DRAFT.name for call in calls)

    async def run(self, *, duration_ms: float) -> None:
        """Send requests for some time, and wait for the last answers."""
        async with asyncio.TaskGroup() as tasks:
            for kind in self._kinds:
                tasks.create_task(self._send(kind, Random(self._rng.random()), duration_ms))
        self._is_over = True
        # An answer may be followed by another request at once.
        while pending := [task for task in self._open if not task.done()]:
            await asyncio.wait(pending)
        await asyncio.gather(*self._open)
        for client in self._clients:
            for connection in client.idle:
                connection.close()

    async def _send(self, kind: DayKind, rng: Random, duration_ms: float) -> None:
        began = now_ms()
        while (elapsed := now_ms() - began) < duration_ms:
            phase = 2 * pi * elapsed / MS_PER_SECOND / WAVE_PERIOD_S
            rate = kind.per_s * self._load * (1 - AT_ONCE_SHARE) * (1 + WAVE_SWING * sin(phase))
            await asyncio.sleep(rng.expovariate(rate))
            self._begin(kind, rng.choice(self._clients), Random(rng.random()))

    def _begin(self, kind: DayKind, client: _Client, rng: Random) -> None:
        task = asyncio.create_task(self._call(kind, client, rng))
        self._open.add(task)

    async def _call(self, kind: DayKind, client: _Client, rng: Random) -> None:
        began = now_ms()
        size = self._draw_size(kind, rng)
        avoided: list[str] = []
        for attempt in range(MAX_RETRIES + 1):
            left_ms = int(kind.deadline_ms - (now_ms() - began))
            connection = None if attempt else _take_idle(client)
            if connection is None:
                host = self._address.choose(client.name, client.zone, avoided=avoided)
                connection = await connect(host, is_slow=client.is_slow)
                if connection is None:
                    avoided.append(host.name)
                    await asyncio.sleep(CONNECT_PAUSE_S)
                    continue
            call = self._record(kind, client, connection, left_ms, attempt)
            request = self._make_request(call, kind, client, size, rng)
            await connection.exchange(call, request, rng, gap_ms=kind.gap_ms)
            self._open_at[call.host].discard(call)
            avoided.append(call.host)
            self._finish(call, connection, client)
            if call.is_complete and rng.random() < AT_ONCE_SHARE and not self._is_over:
                kinds = rng.choices(self._kinds, [kind.per_s for kind in self._kinds])
                self._begin(kinds[0], client, Random(rng.random()))
            pause_s = _pause_before_retry(kind, call, began)
            if pause_s is None:
                return
            await asyncio.sleep(pause_s)

    def _record(
        self, kind: DayKind, client: _Client, connection: DayConnection, left_ms: int, retries: int
    ) -> DayCall:
        call = DayCall(
            request=f"{self._rng.getrandbits(64):016x}",
            kind=kind.name,
            client=client.name,
            host=connection.host.name,
            incarnation=connection.incarnation,
            deadline_ms=left_ms,
            timeout_ms=kind.timeout_ms,
            first_byte=now_ms(),
            nth=connection.requests + 1,
            retries=retries,
            is_slow=client.is_slow,
        )
        self.calls.append(call)
        self._open_at.setdefault(call.host, set()).add(call)
        return call

    def _finish(self, call: DayCall, connection: DayConnection, client: _Client) -> None:
        closes = call.headers.get("connection", "").lower() == "close"
        if call.is_complete and not closes:
            client.idle.append(connection)
        elif call.close:
            connection.abort()
        else:
            connection.close()

    def _draw_size(self, kind: DayKind, rng: Random) -> tuple[int, int]:
        """Return the tokens of a prompt and the number of events of its answer."""
        if kind.events is None:
            return 0, 0
        prompt = max(int(draw(rng, kind.prompt)), 200) + kind.shared
        return prompt, max(round(draw(rng, kind.events)), 1)

    def _make_request(
        self, call: DayCall, kind: DayKind, client: _Client, size: tuple[int, int], rng: Random
    ) -> DayRequest:
        fields = [
            ("Authorization", f"Bearer {client.key}"),
            ("Tanagerscale-Attempt-Id", call.request),
            ("Tanagerscale-Deadline-Remaining", str(call.deadline_ms)),
        ]
        if kind.events:
            self._ledger.lengths[call.request] = size[1]
            fields += _stream_fields(kind, size, rng)
        else:
            self._ledger.work_ms[call.request] = draw(rng, WORK_MS)
            if rng.random() < FAILING_SHARES[kind.name]:
                self._ledger.failing.add(call.request)
        query = "?a=1&b=x-y" if rng.random() < QUERY_SHARE else ""
        has_body = kind.body_bytes > 0
        is_chunked = has_body and rng.random() < CHUNKED_SHARE
        request = DayRequest(
            method="POST" if has_body else "GET",
            target=f"/{kind.name}/{rng.getrandbits(12):x}{query}",
            fields=fields,
            body=(
                f"content of {call.request} ".ljust(kind.body_bytes, "x").encode()
                if has_body
                else b""
            ),
            chunks=rng.randint(1, 6) if is_chunked else 0,
            is_torn=rng.random() < TORN_SHARE,
            has_late_end=is_chunked and rng.random() < LATE_END_SHARE,
        )
        ways = {
            "chunked": is_chunked,
            "torn": request.is_torn,
            "late end": request.has_late_end,
            "query": bool(query),
            "slow reader": call.is_slow,
        }
        call.details = tuple(way for way, holds in ways.items() if holds)
        return request


def _stream_fields(kind: DayKind, size: tuple[int, int], rng: Random) -> list[tuple[str, str]]:
    prompt, events = size
    assert kind.events is not None
    most = min(round(events * rng.uniform(1.0, 2.0)) + 1, int(kind.events[2]) + 1)
    factor = rng.lognormvariate(0, 0.2)
    if rng.random() < WRONG_HINT_SHARE:
        factor *= rng.choice((0.2, 0.4, 2.5, 5.0))
    hint = max(round(events * EVENT_TOKENS * factor), 1)
    own = max(prompt - kind.shared, 1)
    parts = (
        f"{kind.name.encode().hex()}:{kind.shared // 2},"
        f"{rng.randrange(20):x}:{kind.shared - kind.shared // 2},{rng.getrandbits(48):x}:{own}"
    )
    return [
        ("Tanagerscale-Model", "m"),
        ("Tanagerscale-Token-Usage", f"{prompt},{most * EVENT_TOKENS}"),
        ("Tanagerscale-Prompt-Prefix", parts),
        ("Tanagerscale-Length-Hint", str(hint)),
    ]


def draw(rng: Random, shape: tuple[float, float, float]) -> float:
    """Return a value of a lognormal distribution with a mean, a spread and a maximum."""
    mean, spread, most = shape
    return min(rng.lognormvariate(log(mean) - spread**2 / 2, spread), most)


def _take_idle(client: _Client) -> DayConnection | None:
    while client.idle:
        connection = client.idle.pop()
        if connection.is_usable:
            return connection
        connection.close()
    return None


def _pause_before_retry(kind: DayKind, call: DayCall, began: float) -> float | None:
    """Return the pause before the next attempt in seconds; ``None`` makes none."""
    left_ms = kind.deadline_ms - (now_ms() - began)
    is_served = call.is_complete and call.status // 100 == 2
    is_promised = call.is_complete and call.status in PROMISES
    if is_served or left_ms <= 0 or not (is_promised or kind.route_kind == "safe"):
        return None
    pause_s = float(call.headers.get("retry-after", "0"))
    return pause_s if pause_s * MS_PER_SECOND <= left_ms * RETRY_PART else None
