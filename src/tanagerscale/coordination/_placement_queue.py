"""Generations of all hosts that look for an engine, and which one goes where."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from typing import Final
from typing import final

from msgspec import Struct

from tanagerscale.coordination._ledger import EngineTotal
from tanagerscale.coordination._ledger import RunLedger
from tanagerscale.coordination._parts import DecisionParts
from tanagerscale.coordination._parts import eligible_upstreams
from tanagerscale.coordination._parts import view_of
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import PlaceKind
from tanagerscale.generated.messages import RunUse
from tanagerscale.policy import Placement
from tanagerscale.policy import PlacementQuery
from tanagerscale.policy import Verdict
from tanagerscale.policy import place

LOOK_AGAIN_MS: Final = 50
"""How often what waits is looked at although nothing was heard: time alone makes it late."""

EVACUATED: Final = "the failure domains of its engines are evacuated"
NOT_AT_HOME: Final = "no engine is in the regions that its route and account name"

_log = get_logger(part="placement")


class _Waiting(Struct, kw_only=True, eq=False):
    """A generation that looks for an engine.

    :param host: Who asks.
    :param domain: Where that host stands.
    :param ask: What it asked.
    :param arrived: When its request came there.
    :param late_at: When its first event is late.
    :param reason: Why it waits.
    """

    host: HostId
    domain: FailureDomainId
    ask: PlaceAsk
    arrived: Millis
    late_at: Millis
    reason: str = ""


@final
class PlacementQueue:
    """Gives each generation an engine, at once or when there is room, or refuses it.

    What can still be in time goes before what is late. Short answers go first: they hold their
    memory for half a second, where a long one holds it for ten, and someone stands waiting for
    them. Within a kind the first to come is the first to go, whichever host it came to.

    :param parts: What decisions go by.
    :param ledger: What all hosts run.
    :param answer: Tells a host what was decided.
    """

    def __init__(
        self,
        *,
        parts: DecisionParts,
        ledger: RunLedger,
        answer: Callable[[HostId, PlaceAnswer], None],
    ) -> None:
        self._parts = parts
        self._ledger = ledger
        self._answer = answer
        self._waiting: dict[tuple[HostId, int], _Waiting] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._looking = False

    @property
    def waiting(self) -> int:
        """How many wait."""
        return len(self._waiting)

    def ask(self, *, host: HostId, domain: FailureDomainId, ask: PlaceAsk) -> None:
        """Decide about a generation, or keep it until there is room.

        :param host: Who asks.
        :param domain: Where that host stands.
        :param ask: What it asks; the same may come again while there is no room.
        """
        key = (host, ask.serial)
        if key in self._waiting:
            self._answer(host, PlaceAnswer(serial=ask.serial, kind=PlaceKind.WAIT))
            return
        now = self._parts.clock.now()
        waiting = _Waiting(
            host=host,
            domain=domain,
            ask=ask,
            arrived=Millis(now - ask.waited_ms),
            late_at=Millis(now + ask.left_ms),
        )
        self._waiting[key] = waiting
        self.look()
        if key in self._waiting:
            self._answer(host, PlaceAnswer(serial=ask.serial, kind=PlaceKind.WAIT))

    def withdraw(self, *, host: HostId, serial: int) -> None:
        """Forget a generation that its host does not want to place any more."""
        self._waiting.pop((host, serial), None)

    def forget(self, *, host: HostId) -> None:
        """Forget all that a host asked which is gone."""
        for key in [key for key in self._waiting if key[0] == host]:
            del self._waiting[key]

    def look(self) -> None:
        """Decide anew about everything that waits."""
        if self._looking or not self._waiting:
            return  # A decision is itself news that leads here again.
        self._looking = True
        try:
            self._look_at_all()
        finally:
            self._looking = False
        self._look_again_later()

    def _look_at_all(self) -> None:
        totals = self._ledger.totals()
        now = self._parts.clock.now()
        in_order = sorted(
            self._waiting.values(),
            key=lambda one: (one.late_at <= now, one.ask.is_long, one.arrived),
        )
        for waiting in in_order:
            placement = self._place(waiting, totals)
            if placement.verdict is Verdict.WAIT:
                self._note_wait(waiting, placement)
                continue
            del self._waiting[(waiting.host, waiting.ask.serial)]
            self._decide(waiting, placement)
            if placement.verdict is Verdict.SEND:
                totals = self._ledger.totals()

    def _place(self, waiting: _Waiting, totals: Mapping[UpstreamId, EngineTotal]) -> Placement:
        parts = self._parts
        ask = waiting.ask
        service = ServiceId(ask.service)
        excluded = {UpstreamId(upstream) for upstream in ask.excluded}
        engine = parts.engine_of(service)
        domains = {FailureDomainId(domain) for domain in ask.domains}
        entries = eligible_upstreams(parts, service, excluded, domains)
        if not entries and parts.upstreams.has_evacuated(service):
            return Placement(verdict=Verdict.REFUSE, reason=EVACUATED)
        if not entries and domains:
            return Placement(verdict=Verdict.REFUSE, reason=NOT_AT_HOME)
        views = [
            view_of(entry, engine=engine, totals=totals, upstreams=parts.upstreams)
            for entry in entries
            if parts.warmup.allows(entry)
        ]
        query = PlacementQuery(
            prompt_tokens=ask.prompt_tokens,
            is_long=ask.is_long,
            left_ms=waiting.late_at - parts.clock.now(),
            patience_ms=ask.patience_ms,
        )
        return place(
            query=query,
            views=views,
            reserved_tokens=self._leaving_tokens(totals),
            failure_domain=waiting.domain,
            rng=parts.rng,
        )

    def _leaving_tokens(self, totals: Mapping[UpstreamId, EngineTotal]) -> int:
        """Return the memory of long generations on leaving engines that have no copy elsewhere."""
        return sum(
            total.uncopied_tokens
            for upstream, total in totals.items()
            if self._parts.gate.is_leaving(upstream)
        )

    def _note_wait(self, waiting: _Waiting, placement: Placement) -> None:
        if waiting.reason != placement.reason:
            waiting.reason = placement.reason
            self._log("A generation waits.", waiting, **_grounds(placement))

    def _decide(self, waiting: _Waiting, placement: Placement) -> None:
        ask = waiting.ask
        view = placement.engine
        if view is None:
            self._log("A generation is refused.", waiting, **_grounds(placement))
            refusal = PlaceAnswer(serial=ask.serial, kind=PlaceKind.REFUSE, reason=placement.reason)
            self._answer(waiting.host, refusal)
            return
        use = RunUse(
            request=ask.request,
            upstream=view.upstream,
            prompt_tokens=ask.prompt_tokens,
            tokens=ask.prompt_tokens,
            is_long=ask.is_long,
            domains=ask.domains,
        )
        self._ledger.grant(host=waiting.host, use=use)
        self._note_sent(view.upstream)
        self._log(
            "An engine is chosen.",
            waiting,
            upstream=view.upstream,
            prompt_tokens=ask.prompt_tokens,
            forecast_ms=int(placement.wait_ms),
            engine_running=view.running,
            engine_planned=view.planned_tokens,
            engine_waiting=view.waiting_tokens,
            engine_copies=view.copy_tokens,
        )
        granted = PlaceAnswer(
            serial=ask.serial,
            kind=PlaceKind.SEND,
            upstream=view.upstream,
            forecast_ms=int(placement.wait_ms),
            reason=placement.reason,
        )
        self._answer(waiting.host, granted)

    def _note_sent(self, upstream: UpstreamId) -> None:
        entry = self._parts.upstreams.get(upstream)
        if entry is not None:
            self._parts.warmup.note(entry)

    def _look_again_later(self) -> None:
        if self._waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(LOOK_AGAIN_MS / MS_PER_SECOND, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.look()

    def _log(self, message: str, waiting: _Waiting, **inputs: object) -> None:
        _log.info(
            message,
            request=RequestId(waiting.ask.request),
            entry_host=waiting.host,
            after_ms=self._parts.clock.now() - waiting.arrived,
            queued=len(self._waiting),
            **inputs,
        )


def _grounds(placement: Placement) -> dict[str, object]:
    return {"reason": placement.reason, "engines": [str(view) for view in placement.views]}
