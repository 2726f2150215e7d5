"""Views of the engines for one evaluation of the placement queue."""

from __future__ import annotations

from typing import final

from msgspec import Struct

from tanagerscale.coordination._context import DecisionContext
from tanagerscale.coordination._context import build_engine_view
from tanagerscale.coordination._context import eligible_upstreams
from tanagerscale.coordination._ledger import RunLedger
from tanagerscale.core import FailureDomainId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import RequestClass
from tanagerscale.policy import EngineView
from tanagerscale.policy import PlacementDecision
from tanagerscale.policy import PlacementQuery
from tanagerscale.policy import PlacementVerdict
from tanagerscale.policy import is_lack_of_capacity
from tanagerscale.upstreams import UpstreamEntry


class EngineGroup(Struct, frozen=True, kw_only=True):
    """What determines which engines a generation may use.

    :param service: The service.
    :param kind: Class of the generation, which takes turns at engines with rate limits.
    :param excluded: Engines that did not accept it.
    :param domains: Failure domains in which it may run; empty means any.
    """

    service: ServiceId
    kind: RequestClass
    excluded: frozenset[UpstreamId]
    domains: frozenset[FailureDomainId]


def engine_group(ask: PlaceAsk) -> EngineGroup:
    """Return what determines which engines a generation may use."""
    return EngineGroup(
        service=ServiceId(ask.service),
        kind=RequestClass.LONG if ask.is_long else RequestClass.SHORT,
        excluded=frozenset(UpstreamId(upstream) for upstream in ask.excluded),
        domains=frozenset(FailureDomainId(domain) for domain in ask.domains),
    )


@final
class EvaluationViews:
    """Views of the engines, built once for all generations of an evaluation that share them.

    Workload: in a burst, hundreds of generations wait while the reports of all hosts change the
    ledger hundreds of times a second. Building the views of all engines for each of them would take
    a decider longer than its callers wait.

    :param context: Inputs of decisions.
    :param ledger: Runs of all hosts.
    """

    def __init__(self, *, context: DecisionContext, ledger: RunLedger) -> None:
        self._context = context
        self._totals = ledger.totals()
        self._ledger = ledger
        self._leaving_tokens: int | None = None
        self._entries: dict[EngineGroup, list[UpstreamEntry]] = {}
        self._are_limited: dict[UpstreamId, bool] = {}
        self._views: dict[UpstreamId, EngineView] = {}
        self._refused: dict[EngineGroup, tuple[int, PlacementDecision]] = {}
        self.waiting_in_time: set[ServiceId] = set()
        """Services with generations that wait for shorter queues to be in time."""
        self.built = 0
        """Number of views that were built."""

    def entries(self, group: EngineGroup) -> list[UpstreamEntry]:
        """Return the engines that a generation may use, regardless of rate limits."""
        entries = self._entries.get(group)
        if entries is None:
            entries = eligible_upstreams(
                self._context, group.service, group.excluded, group.domains
            )
            self._entries[group] = entries
        return entries

    def allowed_entries(self, group: EngineGroup) -> list[UpstreamEntry]:
        """Return the engines that a generation may use now."""
        limits = self._context.rate_limits
        return [
            entry
            for entry in self.entries(group)
            if not self._is_limited(entry.upstream) or limits.allows(entry.upstream, group.kind)
        ]

    def view(self, entry: UpstreamEntry) -> EngineView:
        """Return the view of an engine."""
        view = self._views.get(entry.upstream)
        if view is None:
            view = build_engine_view(
                entry,
                engine=self._context.get_engine_capabilities(entry.service),
                totals=self._totals,
                upstreams=self._context.upstreams,
                speeds=self._ledger.speeds,
            )
            self._views[entry.upstream] = view
            self.built += 1
        return view

    def leaving_tokens(self) -> int:
        """Return the memory of long generations on leaving engines that have no copy elsewhere."""
        if self._leaving_tokens is None:
            self._leaving_tokens = sum(
                total.uncopied_tokens
                for upstream, total in self._totals.items()
                if self._context.gate.is_leaving(upstream)
            )
        return self._leaving_tokens

    def known_decision(self, group: EngineGroup, query: PlacementQuery) -> PlacementDecision | None:
        """Return the decision on a generation if a smaller one of its group lacks capacity."""
        known = self._refused.get(group)
        if known is None or query.needed_tokens < known[0]:
            return None
        decision = known[1]
        is_waiting = query.left_ms + query.patience_ms > 0
        verdict = PlacementVerdict.WAIT if is_waiting else PlacementVerdict.REFUSE
        return PlacementDecision(verdict=verdict, reason=decision.reason, views=decision.views)

    def record(
        self, group: EngineGroup, query: PlacementQuery, decision: PlacementDecision
    ) -> None:
        """Record a decision, so that larger generations of the group need none of their own."""
        if not is_lack_of_capacity(decision):
            return
        known = self._refused.get(group)
        if known is None or query.needed_tokens < known[0]:
            self._refused[group] = (query.needed_tokens, decision)

    def _is_limited(self, upstream: UpstreamId) -> bool:
        is_limited = self._are_limited.get(upstream)
        if is_limited is None:
            is_limited = self._context.rate_limits.is_limited(upstream)
            self._are_limited[upstream] = is_limited
        return is_limited

    def on_granted(self, upstream: UpstreamId) -> None:
        """Update the view of an engine that a generation was sent to."""
        self._totals = self._ledger.totals()
        self._views.pop(upstream, None)
        self._leaving_tokens = None
