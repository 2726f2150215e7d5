"""What a host asks those that decide for it, and tells those that coordinate."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from itertools import count
from typing import Final
from typing import final

from msgspec import Struct
from msgspec.structs import replace

from tanagerscale.coordination._directory import Directory
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import Ping
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import PlaceKind
from tanagerscale.generated.messages import PlaceWithdrawal
from tanagerscale.generated.messages import Pong
from tanagerscale.generated.messages import RepeatAnswer
from tanagerscale.generated.messages import RepeatAsk
from tanagerscale.generated.messages import RunUse
from tanagerscale.generated.messages import WarmupAnswer
from tanagerscale.generated.messages import WarmupAsk
from tanagerscale.membership import Message

PATIENCE_MS: Final = 80
"""How long a decider may say nothing to an ask before the next one is asked. Ask and answer take 3
to 6 ms between failure domains; a first event has 1.5 s."""

REPEAT_MS: Final = 250
"""How often a decider is asked again that has no room yet, which shows that it still lives."""

REPORT_PAUSE_MS: Final = 20
"""Changes of this host's runs within so long go out as one report. Prompts take some 200 ms to
read, so what a decider knows is rarely older than the decision it is needed for."""

REFRESH_MS: Final = 2000
"""How often what runs is told though nothing has changed: answers grow, and a decider can only
guess how fast."""

NUMBERS_PER_MS: Final = 1000
"""Reports are numbered from the start of the process on. A host sends far fewer in a millisecond,
so those of a later process of the same host have higher numbers."""

_log = get_logger(part="placement")


class _Reply(Struct, frozen=True, kw_only=True):
    """What a decider says.

    :param host: Who.
    :param answer: What; ``None`` when it has gone.
    """

    host: HostId
    answer: PlaceAnswer | None

    @property
    def is_decision(self) -> bool:
        """Whether it is final."""
        return self.answer is not None and self.answer.kind is not PlaceKind.WAIT


class _Call(Struct, kw_only=True, eq=False):
    """A generation that looks for an engine.

    :param ask: What is asked, as of the time when the search began.
    :param began: That time.
    :param decider: Who is asked now.
    :param replies: What the deciders say.
    """

    ask: PlaceAsk
    began: Millis
    decider: HostId
    replies: asyncio.Queue[_Reply]


@final
class CoordinationClient:
    """Asks for engines, and reports what this host runs.

    A decider that says nothing costs a caller ``PATIENCE_MS``; the next one in rank is asked then,
    and this host decides by itself when none answers. So neither the death nor a pause of a decider
    costs an answer.

    :param host: This host.
    :param directory: Who coordinates.
    :param tell: Sends a message to a host, which may be this one; returns whether it can be
        reached.
    :param uses: Returns what this host runs.
    :param incarnation: Wall clock at this process's start, in milliseconds.
    :param clock: Time.
    """

    def __init__(
        self,
        *,
        host: HostId,
        directory: Directory,
        tell: Callable[[HostId, Message], bool],
        uses: Callable[[], list[RunUse]],
        incarnation: int,
        clock: Clock,
    ) -> None:
        self._host = host
        self._directory = directory
        self._tell = tell
        self._uses = uses
        self._clock = clock
        self._serials = count(1)
        self._number = incarnation * NUMBERS_PER_MS
        self._calls: dict[int, _Call] = {}
        self._questions: dict[int, asyncio.Future[Message]] = {}
        self._requests: Counter[ServiceId] = Counter()
        """Requests since a repeat was asked for last."""
        self._pending: asyncio.TimerHandle | None = None
        self._refresh: asyncio.TimerHandle | None = None

    @property
    def asking(self) -> int:
        """How many generations look for an engine."""
        return len(self._calls)

    async def place(self, *, ask: PlaceAsk) -> PlaceAnswer:
        """Return what becomes of a generation; cancelling the call withdraws it.

        :param ask: What is asked; its serial is given here.
        """
        serial = next(self._serials)
        call = _Call(
            ask=replace(ask, serial=serial),
            began=self._clock.now(),
            decider=self._host,
            replies=asyncio.Queue(),
        )
        self._calls[serial] = call
        try:
            while True:
                call.decider = self._directory.decider
                reply = await self._ask_decider(call)
                if reply is not None and reply.answer is not None:
                    return reply.answer
        finally:
            del self._calls[serial]

    async def check_decider(self) -> None:
        """Make sure that the decider answers, since moves are expected of it."""
        if self._directory.decider != self._host:
            await self._ask_once(lambda serial: Ping(serial=serial))

    async def may_repeat(self, *, service: ServiceId) -> bool:
        """Return whether a request may be repeated at another upstream."""
        requests = self._requests.pop(service, 0)
        answer = await self._ask_once(
            lambda serial: RepeatAsk(serial=serial, service=service, requests=requests)
        )
        return isinstance(answer, RepeatAnswer) and answer.may_repeat

    async def may_send(self, *, upstream: UpstreamId) -> bool:
        """Return whether an upstream that warms up may get one more request."""
        answer = await self._ask_once(lambda serial: WarmupAsk(serial=serial, upstream=upstream))
        return isinstance(answer, WarmupAnswer) and answer.may_send

    def count_request(self, *, service: ServiceId) -> None:
        """Count a request for a service; a part of all requests may be repeated."""
        self._requests[service] += 1

    def on_message(self, host: HostId, message: Message) -> None:
        """Take in what a decider says; other messages are ignored."""
        if isinstance(message, PlaceAnswer):
            self._on_answer(host, message)
        elif isinstance(message, Ping):
            self._tell(host, Pong(serial=message.serial))
        elif isinstance(message, Pong | RepeatAnswer | WarmupAnswer):
            answered = self._questions.get(message.serial)
            if answered is not None and not answered.done():
                answered.set_result(message)

    def on_gone(self, host: HostId) -> None:
        """Ask another decider for what a host was asked that is gone."""
        for call in self._calls.values():
            if call.decider == host:
                call.replies.put_nowait(_Reply(host=host, answer=None))

    def report_soon(self) -> None:
        """Tell what this host runs, after a moment in which more may change."""
        # Its own decisions go by what it runs now.
        self._tell(self._host, self._report())
        if self._pending is None:
            loop = asyncio.get_running_loop()
            pause_s = REPORT_PAUSE_MS / MS_PER_SECOND
            self._pending = loop.call_later(pause_s, self.report_now)

    def report_now(self) -> None:
        """Tell all that coordinate what this host runs."""
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None
        report = self._report()
        self._tell(self._host, report)
        for host in self._directory.coordinators:
            self._tell(host, report)
        self._refresh_later(report)

    def report_to(self, host: HostId) -> None:
        """Tell a host what this one runs that has just connected."""
        self._tell(host, self._report())

    def _report(self) -> HostRuns:
        self._number += 1
        return HostRuns(number=self._number, decider=self._directory.decider, runs=self._uses())

    def _refresh_later(self, report: HostRuns) -> None:
        if self._refresh is not None:
            self._refresh.cancel()
            self._refresh = None
        if any(use.is_long for use in report.runs):
            loop = asyncio.get_running_loop()
            self._refresh = loop.call_later(REFRESH_MS / MS_PER_SECOND, self.report_now)

    async def _ask_once(self, question: Callable[[int], Message]) -> Message:
        """Ask the decider something that it answers at once, and the next one when it is silent."""
        while True:
            decider = self._directory.decider
            serial = next(self._serials)
            answered: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
            self._questions[serial] = answered
            try:
                if self._tell(decider, question(serial)):
                    async with asyncio.timeout(PATIENCE_MS / MS_PER_SECOND):
                        return await answered
            except TimeoutError:
                _log.info("A decider is silent.", silent=decider)
            finally:
                del self._questions[serial]
            self._directory.distrust(decider)

    def _on_answer(self, host: HostId, answer: PlaceAnswer) -> None:
        """Take in a decision, which may be late or not wanted any more."""
        call = self._calls.get(answer.serial)
        if call is None:
            if answer.kind is PlaceKind.SEND:
                self._tell(host, PlaceWithdrawal(serial=answer.serial))
        elif host == call.decider or answer.kind is PlaceKind.SEND:
            call.replies.put_nowait(_Reply(host=host, answer=answer))

    async def _ask_decider(self, call: _Call) -> _Reply | None:
        """Return a decision; ``None`` when another decider is to be asked."""
        decider = call.decider
        reply: _Reply | None = None
        try:
            while decider == self._directory.decider:
                sent = self._tell(decider, self._ask_now(call))
                reply = await self._next_reply(call, PATIENCE_MS) if sent else None
                if reply is not None and reply.answer is not None and not reply.is_decision:
                    reply = await self._next_reply(call, REPEAT_MS) or reply
                if reply is None or reply.answer is None:
                    self._give_up_on(call)
                    return None
                if reply.is_decision:
                    return reply
            return None
        finally:
            if reply is None or not reply.is_decision or reply.host != decider:
                self._tell(decider, PlaceWithdrawal(serial=call.ask.serial))

    def _ask_now(self, call: _Call) -> PlaceAsk:
        """Return what is asked, with the times as they are by now."""
        passed_ms = self._clock.now() - call.began
        ask = call.ask
        return replace(ask, left_ms=ask.left_ms - passed_ms, waited_ms=ask.waited_ms + passed_ms)

    async def _next_reply(self, call: _Call, limit_ms: int) -> _Reply | None:
        """Return what a decider says next; ``None`` when nothing is said in time."""
        try:
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                return await call.replies.get()
        except TimeoutError:
            return None

    def _give_up_on(self, call: _Call) -> None:
        if call.decider != self._host:
            _log.info("Another decider is asked.", request=call.ask.request, silent=call.decider)
            self._directory.distrust(call.decider)
