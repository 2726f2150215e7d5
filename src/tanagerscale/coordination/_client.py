"""Requests to the decider of a host, and reports to the coordinators."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Set
from itertools import count
from typing import Final
from typing import final

from msgspec import Struct
from msgspec.structs import replace

from tanagerscale.coordination._directory import Directory
from tanagerscale.coordination._rate_permits import RatePermits
from tanagerscale.coordination._request_counts import RequestCounts
from tanagerscale.coordination._retry_budgets import RepeatPermit
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import Delegate
from tanagerscale.generated.messages import DelegatesAnswer
from tanagerscale.generated.messages import DelegatesAsk
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import Ping
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import PlaceKind
from tanagerscale.generated.messages import PlaceWithdrawal
from tanagerscale.generated.messages import Pong
from tanagerscale.generated.messages import RateAnswer
from tanagerscale.generated.messages import RefusedGeneration
from tanagerscale.generated.messages import RepeatAnswer
from tanagerscale.generated.messages import RepeatAsk
from tanagerscale.generated.messages import RepeatClass
from tanagerscale.generated.messages import RunUse
from tanagerscale.membership import Message

DECIDER_TIMEOUT_MS: Final = 80
"""How long a decider may leave an ask unanswered before the next one is asked. Ask and answer take
3 to 6 ms between failure domains; the first event of an answer is due after 1.5 s."""

SILENT_DECIDER_TIMEOUT_MS: Final = 200
"""The same for a coordinator that was silent recently, and is asked since no other one answers."""

REASK_INTERVAL_MS: Final = 250
"""Interval at which a decider without capacity is asked again, which also checks that it is
alive."""

REPORT_COALESCE_MS: Final = 20
"""Changes to the runs of this host within this time are combined into one report. Engines take some
200 ms to process a prompt, so a decider's data is rarely older than its decisions allow."""

REPORT_REFRESH_MS: Final = 2000
"""Interval at which runs are reported without a change: answers grow, and a decider can only
estimate how fast."""

REPORT_NUMBERS_PER_MS: Final = 1000
"""Report numbers start at the start time of the process multiplied by this. A host sends far fewer
reports per millisecond, so a later process of the same host has higher numbers."""

_log = get_logger(part="placement")


class _Reply(Struct, frozen=True, kw_only=True):
    """A reply of a decider.

    :param host: The decider.
    :param answer: Its answer; ``None`` when the host has disconnected.
    """

    host: HostId
    answer: PlaceAnswer | None

    @property
    def is_decision(self) -> bool:
        """Whether the reply is final."""
        return self.answer is not None and self.answer.kind is not PlaceKind.WAIT


class _PlacementCall(Struct, kw_only=True, eq=False):
    """A pending placement of a generation.

    :param ask: The ask, with times relative to ``started_at``.
    :param started_at: When the placement started.
    :param decider: The host that is currently asked.
    :param replies: Replies of the deciders.
    """

    ask: PlaceAsk
    started_at: Millis
    decider: HostId
    replies: asyncio.Queue[_Reply]


@final
class CoordinationClient:
    """Requests placements and permits from the decider, and reports the runs of this host.

    A decider that does not answer delays a caller by ``DECIDER_TIMEOUT_MS``; then the next host in
    rank is asked, and this host decides for itself when none answers. So neither a crash nor a
    pause of a decider makes a request fail.

    :param host: This host.
    :param directory: Which hosts are coordinators.
    :param send: Sends a message to a host, which may be this one; returns whether it can be
        reached.
    :param uses: Returns the runs of this host.
    :param paused: Returns the engines that have asked this host for a pause.
    :param refused: Returns the generations that this host has refused with a return time.
    :param returned: Returns the fingerprints of those that have used a reservation lately.
    :param incarnation: Wall clock at the start of this process, in milliseconds.
    :param max_request_age_ms: Returns the age in milliseconds up to which requests are reported.
    :param clock: Source of the current time.
    """

    def __init__(
        self,
        *,
        host: HostId,
        directory: Directory,
        send: Callable[[HostId, Message], bool],
        uses: Callable[[], list[RunUse]],
        paused: Callable[[], Set[UpstreamId]],
        refused: Callable[[], list[RefusedGeneration]] = list,
        returned: Callable[[], list[str]] = list,
        incarnation: int,
        max_request_age_ms: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._host = host
        self._directory = directory
        self._send = send
        self._uses = uses
        self._paused = paused
        self._refused = refused
        self._returned = returned
        self._clock = clock
        self._serials = count(1)
        self._report_number = incarnation * REPORT_NUMBERS_PER_MS
        self._calls: dict[int, _PlacementCall] = {}
        self._queries: dict[int, asyncio.Future[Message]] = {}
        self._unreported_requests = RequestCounts(max_age_ms=max_request_age_ms, clock=clock)
        self._reported_decider: HostId | None = None
        self._report_timer: asyncio.TimerHandle | None = None
        self._refresh_timer: asyncio.TimerHandle | None = None
        self.rate_permits = RatePermits(
            query=self._query_decider, hosts=lambda: directory.hosts, clock=clock
        )

    @property
    def pending_placements(self) -> int:
        """Number of generations that are being placed."""
        return len(self._calls)

    async def place(self, *, ask: PlaceAsk) -> PlaceAnswer:
        """Place a generation; cancelling the call withdraws the ask.

        :param ask: The ask; its serial is assigned here.
        :returns: The decision.
        """
        serial = next(self._serials)
        call = _PlacementCall(
            ask=replace(ask, serial=serial),
            started_at=self._clock.now(),
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
        """Check that the decider answers, since it is expected to order moves."""
        if self._directory.decider != self._host:
            await self._query_decider(lambda serial: Ping(serial=serial))

    async def may_repeat(self, *, service: ServiceId) -> bool:
        """Return whether a request may be repeated at another upstream."""
        return (await self._ask_repeat(service, RepeatClass.REPEATED)).is_granted

    async def acquire_resume(self, *, service: ServiceId) -> RepeatPermit:
        """Return whether a run may continue, or when it can ask again."""
        return await self._ask_repeat(service, RepeatClass.RESUMED)

    async def _ask_repeat(self, service: ServiceId, kind: RepeatClass) -> RepeatPermit:
        requests = self._unreported_requests.take(service)
        answer = await self._query_decider(
            lambda serial: RepeatAsk(serial=serial, service=service, requests=requests, kind=kind)
        )
        if not isinstance(answer, RepeatAnswer):
            return RepeatPermit(is_granted=False)
        return RepeatPermit(is_granted=answer.may_repeat, delay_ms=answer.delay_ms)

    async def get_delegates(self) -> list[Delegate]:
        """Return hosts to which requests can be delegated while this one reaches no upstream."""
        answer = await self._query_decider(lambda serial: DelegatesAsk(serial=serial))
        return answer.delegates if isinstance(answer, DelegatesAnswer) else []

    def count_request(self, *, service: ServiceId) -> None:
        """Count a request for a service; retries are limited to a fraction of all requests."""
        self._unreported_requests.add(service)

    def on_message(self, host: HostId, message: Message) -> None:
        """Handle the messages of deciders; other messages are ignored."""
        if isinstance(message, PlaceAnswer):
            self._handle_answer(host, message)
        elif isinstance(message, Ping):
            self._send(host, Pong(serial=message.serial))
        elif isinstance(message, Pong | RepeatAnswer | RateAnswer | DelegatesAnswer):
            reply_future = self._queries.get(message.serial)
            if reply_future is not None and not reply_future.done():
                reply_future.set_result(message)

    def on_gone(self, host: HostId) -> None:
        """Ask another decider for placements when the host that was asked disconnects."""
        for call in self._calls.values():
            if call.decider == host:
                call.replies.put_nowait(_Reply(host=host, answer=None))

    def on_coordinators_changed(self) -> None:
        """Report to the coordinators if another host decides for this one from now on."""
        if self._directory.decider != self._reported_decider:
            self.schedule_report()

    def schedule_report(self) -> None:
        """Report the runs of this host after a short delay that combines several changes."""
        # Decisions of this host itself use its current runs without the delay.
        self._send(self._host, self._build_report())
        if self._report_timer is None:
            loop = asyncio.get_running_loop()
            pause_s = REPORT_COALESCE_MS / MS_PER_SECOND
            self._report_timer = loop.call_later(pause_s, self.report_now)

    def report_now(self) -> None:
        """Report the runs of this host to all coordinators."""
        if self._report_timer is not None:
            self._report_timer.cancel()
            self._report_timer = None
        report = self._build_report()
        self._send(self._host, report)
        for host in self._directory.coordinators:
            self._send(host, report)
        self._schedule_refresh(report)

    def report_to(self, host: HostId) -> None:
        """Report the runs of this host to a host that has just connected."""
        self._send(host, self._build_report())

    def _build_report(self) -> HostRuns:
        self._report_number += 1
        self._reported_decider = self._directory.decider
        return HostRuns(
            number=self._report_number,
            decider=self._reported_decider,
            runs=self._uses(),
            paused=sorted(self._paused()),
            refused=self._refused(),
            returned=self._returned(),
        )

    def _schedule_refresh(self, report: HostRuns) -> None:
        if self._refresh_timer is not None:
            self._refresh_timer.cancel()
            self._refresh_timer = None
        if any(use.is_long for use in report.runs):
            loop = asyncio.get_running_loop()
            self._refresh_timer = loop.call_later(
                REPORT_REFRESH_MS / MS_PER_SECOND, self.report_now
            )

    async def _query_decider(self, build_query: Callable[[int], Message]) -> Message:
        """Send the decider a query that needs no waiting; on a timeout, ask the next decider."""
        while True:
            decider = self._directory.decider
            serial = next(self._serials)
            reply_future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
            self._queries[serial] = reply_future
            try:
                if self._send(decider, build_query(serial)):
                    async with asyncio.timeout(self._decider_timeout_ms / MS_PER_SECOND):
                        answer = await reply_future
                        self._directory.record_answer(decider)
                        return answer
            except TimeoutError:
                _log.info("A decider did not answer a query in time.", silent=decider)
            finally:
                del self._queries[serial]
            self._directory.distrust(decider)

    @property
    def _decider_timeout_ms(self) -> int:
        is_silent = self._directory.is_asking_silent
        return SILENT_DECIDER_TIMEOUT_MS if is_silent else DECIDER_TIMEOUT_MS

    def _handle_answer(self, host: HostId, answer: PlaceAnswer) -> None:
        """Handle a decision, which may be late or for a cancelled placement."""
        self._directory.record_answer(host)
        call = self._calls.get(answer.serial)
        if call is None:
            if answer.kind is PlaceKind.SEND:
                self._send(host, PlaceWithdrawal(serial=answer.serial))
        elif host == call.decider or answer.kind is PlaceKind.SEND:
            call.replies.put_nowait(_Reply(host=host, answer=answer))

    async def _ask_decider(self, call: _PlacementCall) -> _Reply | None:
        """Return a decision; ``None`` when another decider is to be asked."""
        decider = call.decider
        reply: _Reply | None = None
        try:
            while decider == self._directory.decider:
                sent = self._send(decider, self._build_ask(call))
                reply = await self._next_reply(call, self._decider_timeout_ms) if sent else None
                if reply is not None and reply.answer is not None and not reply.is_decision:
                    reply = await self._next_reply(call, REASK_INTERVAL_MS) or reply
                if reply is None or reply.answer is None:
                    self._abandon_decider(call)
                    return None
                if reply.is_decision:
                    return reply
            return None
        finally:
            if reply is None or not reply.is_decision or reply.host != decider:
                self._send(decider, PlaceWithdrawal(serial=call.ask.serial))

    def _build_ask(self, call: _PlacementCall) -> PlaceAsk:
        """Return the ask with its times adjusted to the current time."""
        passed_ms = self._clock.now() - call.started_at
        ask = call.ask
        return replace(
            ask,
            left_ms=ask.left_ms - passed_ms,
            waited_ms=ask.waited_ms + passed_ms,
            # 0 means that the time is unknown.
            deadline_ms=max(ask.deadline_ms - passed_ms, 1) if ask.deadline_ms else 0,
        )

    async def _next_reply(self, call: _PlacementCall, limit_ms: int) -> _Reply | None:
        """Return the next reply of a decider; ``None`` on a timeout."""
        try:
            async with asyncio.timeout(limit_ms / MS_PER_SECOND):
                return await call.replies.get()
        except TimeoutError:
            return None

    def _abandon_decider(self, call: _PlacementCall) -> None:
        if call.decider != self._host:
            _log.info(
                "A decider did not answer a placement in time; asking another one.",
                request=call.ask.request,
                silent=call.decider,
            )
            self._directory.distrust(call.decider)
