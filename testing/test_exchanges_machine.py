"""State machine test of exchanges with an engine that answers twice, late or in part."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Coroutine
from collections.abc import Sequence
from itertools import count
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import rule
from msgspec import json

from tanagerscale.core import RequestId
from tanagerscale.platform._engines import CALL_TIMEOUT_MS
from tanagerscale.platform._engines import PlatformUpstreams
from tanagerscale.upstreams import ExchangeError
from testing._engine_exchanges import MOVE_PATH
from testing._engine_exchanges import make_engine_entry
from testing._engine_exchanges import make_pool
from testing._engine_exchanges import make_upstream_request
from testing._memory_peer import connect_in_memory
from testing._random_cases import random_case_settings
from testing._scripted_peer import Late
from testing._scripted_peer import Part
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import encode_answer
from testing._virtual_time import close_loop
from testing._virtual_time import new_virtual_loop

IDS = ("a", "b", "c")
DELAYS_S = (0.0, 0.001, 0.1, 6.0)
DEADLINE_S = 20.0
NUMBERS = st.integers(0, 1000)


class ExchangeMachine(RuleBasedStateMachine):
    """A host and an engine, each of whose answers has a number of its own."""

    def __init__(self) -> None:
        super().__init__()
        self._loop = new_virtual_loop()
        self._entry = make_engine_entry("engine:1")
        self._numbers = count(1)
        self._delay_s = 0.0
        self._newest = 0
        """Number of the answer to the newest request."""
        self._carrier = 0
        """Connection of the newest request."""
        self._answers: list[bytes] = [encode_answer(status=404, body=b"{}")]
        """All answers, of which any may be sent once more."""
        self._queued: defaultdict[int, list[bytes]] = defaultdict(list)
        """What is sent before the next answer, by connection."""
        self._disturbed: set[int] = set()
        """Connections on which something else than answers was sent."""
        self._patch = connect_in_memory(self._answer)
        self._connections = self._patch.__enter__()
        self._pool = make_pool()
        self._client = PlatformUpstreams(pool=self._pool)

    def teardown(self) -> None:
        """Close all connections."""
        self._loop.run_until_complete(self._close())
        self._patch.__exit__(None, None, None)
        close_loop(self._loop)

    @rule(id=st.sampled_from(IDS), delay_s=st.sampled_from(DELAYS_S), is_head=st.booleans())
    def send(self, id: str, delay_s: float, is_head: bool) -> None:
        """Send a request, which may have been sent before."""
        self._run(self._send(id, "HEAD" if is_head else "POST"), delay_s)

    @rule(delay_s=st.sampled_from(DELAYS_S))
    def order_copy(self, delay_s: float) -> None:
        """Order a copy of a run."""
        self._run(self._copy(), delay_s)

    @rule(delay_s=st.sampled_from(DELAYS_S))
    def read_report(self, delay_s: float) -> None:
        """Read a report."""
        self._run(self._report(), delay_s)

    @rule(answer=NUMBERS, connection=NUMBERS, cut=st.none() | NUMBERS)
    def queue_answer(self, answer: int, connection: int, cut: int | None) -> None:
        """Have an answer sent once more before the next one on a connection."""
        if self._connections:
            chosen = connection % len(self._connections)
            self._queued[chosen].append(self._choose(answer, cut))
            self._disturbed.add(chosen)

    @rule(answer=NUMBERS, connection=NUMBERS, cut=st.none() | NUMBERS)
    def send_answer(self, answer: int, connection: int, cut: int | None) -> None:
        """Send an answer once more on a connection, whatever it is used for."""
        if self._connections:
            chosen = connection % len(self._connections)
            self._disturbed.add(chosen)
            data = self._choose(answer, cut)
            self._loop.run_until_complete(self._deliver(chosen, data))

    @rule(connection=NUMBERS)
    def reset(self, connection: int) -> None:
        """Reset a connection."""
        if self._connections:
            chosen = connection % len(self._connections)
            self._loop.run_until_complete(self._reset(chosen))

    @rule(duration_s=st.sampled_from(DELAYS_S))
    def wait(self, duration_s: float) -> None:
        """Let time pass."""
        self._loop.run_until_complete(asyncio.sleep(duration_s))

    def _choose(self, answer: int, cut: int | None) -> bytes:
        data = self._answers[answer % len(self._answers)]
        return data if cut is None else data[: cut % len(data)]

    def _answer(self, request: PeerRequest) -> Sequence[Part]:
        self._newest = number = next(self._numbers)
        self._carrier = request.connection
        if request.target == MOVE_PATH:
            body = json.encode({"handle": f"h{number}", "createdRev": 1})
        elif request.target == "/v1/report":
            body = json.encode({"running": number})
        else:
            body = str(number).encode()
        own = encode_answer(id=request.id, body=body, fields=[("Number", str(number))])
        if request.method == "HEAD":
            own = own[: len(own) - len(body)]
        self._answers.append(own)
        return [*self._queued.pop(request.connection, ()), Late(delay_s=self._delay_s, data=own)]

    def _run(self, exchange: Coroutine[Any, Any, int], delay_s: float) -> None:
        """Run an exchange; it takes its own answer, or fails if its connection was disturbed."""
        self._delay_s = delay_s
        taken = self._loop.run_until_complete(exchange)
        if taken:
            assert taken == self._newest
        else:
            assert self._carrier in self._disturbed or delay_s * 1000 > CALL_TIMEOUT_MS

    async def _send(self, id: str, method: str) -> int:
        request = make_upstream_request(self._entry, id=id, method=method)
        try:
            async with asyncio.timeout(DEADLINE_S):
                response = await self._client.send(upstream_request=request)
                try:
                    body = await response.read_all()
                finally:
                    response.close()
        except (ExchangeError, TimeoutError):
            return 0
        number = int(response.reply.headers["Number"])
        assert body == (b"" if method == "HEAD" else str(number).encode())
        return number

    async def _copy(self) -> int:
        result = await self._client.copy(
            source=self._entry, request=RequestId("run"), target=self._entry, stop=False
        )
        return result.map(lambda copied: int(copied.copy.removeprefix("h"))).value_or(0)

    async def _report(self) -> int:
        result = await self._client.report(upstream=self._entry)
        return result.map(lambda report: report.running).value_or(0)

    async def _deliver(self, connection: int, data: bytes) -> None:
        self._connections[connection].deliver(data)

    async def _reset(self, connection: int) -> None:
        self._connections[connection].abort()

    async def _close(self) -> None:
        self._pool.close()


ExchangeMachine.TestCase.settings = random_case_settings(examples=150, steps=30)
TestExchangeMachine = ExchangeMachine.TestCase
