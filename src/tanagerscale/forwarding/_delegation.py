"""Requests that another host sends to upstreams, while this one reaches none."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from enum import Enum
from enum import unique
from random import Random
from typing import Final
from typing import Protocol
from typing import final

from msgspec import Struct

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.forwarding._crash_evidence import is_quarantined
from tanagerscale.forwarding._events import EventBuffer
from tanagerscale.forwarding._events import EventError
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._refusals import no_upstream
from tanagerscale.forwarding._refusals import quarantined
from tanagerscale.forwarding._refusals import upstream_failed
from tanagerscale.forwarding._request_state import UpstreamEnd
from tanagerscale.forwarding._request_state import UpstreamPart
from tanagerscale.forwarding._sending import HostStoppingError
from tanagerscale.forwarding._types import CallerRequest
from tanagerscale.forwarding._types import Header
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import RefusalKind
from tanagerscale.forwarding._types import Responder
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.generated.messages import Delegate
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure

MAX_DELEGATES: Final = 3
"""Hosts that one request is delegated to, one after the other, while none has sent it."""

LIST_TTL_MS: Final = 500
"""Time for which a list of delegates is used. Hosts that can't help any more say so themselves."""

EXCLUSION_MS: Final = 1000
"""Time for which a host that did not help is not asked again."""

_ELSEWHERE: Final = frozenset(
    (
        RefusalKind.NO_PATH,
        RefusalKind.NOT_READY,
        RefusalKind.UNKNOWN_ROUTE,
        RefusalKind.UNKNOWN_KEY,
    )
)
"""Refusals that only show that the delegate can't help: it reaches no upstream either, or has an
older configuration than this host."""

_log = get_logger(part="delegation")


@unique
class DelegatedOutcome(Enum):
    """What became of a delegated request."""

    WHOLE = "whole"
    """An upstream has answered, and the response comes as a whole."""
    STREAM = "stream"
    """An upstream answers with a stream."""
    REFUSED = "refused"
    """The delegate has refused the request as it would refuse one of its own callers."""
    UNAVAILABLE = "unavailable"
    """The delegate has not accepted the request."""


class DelegatedHead(Struct, frozen=True, kw_only=True):
    """The head of the response to a delegated request.

    :param outcome: What became of the request.
    :param status: Status of the upstream's response.
    :param reason: Its reason phrase.
    :param headers: Its header fields for the caller.
    :param refusal: The refusal of the delegate.
    """

    outcome: DelegatedOutcome
    status: int = 0
    reason: str = ""
    headers: Sequence[Header] = ()
    refusal: Refusal | None = None


class DelegatedResponse(Protocol):
    """A response to a delegated request whose head has arrived."""

    @property
    def head(self) -> DelegatedHead:
        """The head."""

    async def read_some(self) -> bytes:
        """Return the next bytes of the body, or empty bytes after its proper end.

        :raises ExchangeError: The body was truncated.
        """

    async def read_all(self) -> bytes:
        """Return the complete body.

        :raises ExchangeError: The body was truncated, or is too large.
        """

    def close(self) -> None:
        """Discard the response, so that the delegate stops."""


class DelegateClient(Protocol):
    """Sends requests to other hosts."""

    async def send(
        self, *, address: str, request: CallerRequest, time_left_ms: int
    ) -> DelegatedResponse:
        """Send a request to a host and wait for the head of the response.

        :param address: Address at which the host accepts delegated requests.
        :param request: The request as received from its caller.
        :param time_left_ms: Time until its deadline.
        :raises ExchangeError: The host did not respond.
        """


@final
class DelegateSelector:
    """Selects the hosts to delegate to: near ones first, and those with the fewest requests.

    :param find: Returns hosts that may help.
    :param failure_domain: Failure domain of this host.
    :param clock: Source of the current time.
    :param rng: Random number generator used for tie breaking.
    """

    def __init__(
        self,
        *,
        find: Callable[[], Awaitable[Sequence[Delegate]]],
        failure_domain: FailureDomainId,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._find = find
        self._failure_domain = failure_domain
        self._clock = clock
        self._rng = rng
        self._delegates: Sequence[Delegate] = ()
        self._found_at = Millis(-LIST_TTL_MS)
        self._excluded: dict[str, Millis] = {}
        self._running: dict[str, int] = {}

    async def choose(self) -> Delegate | None:
        """Return the host to ask next; ``None`` if there is none."""
        now = self._clock.now()
        if now - self._found_at >= LIST_TTL_MS:
            self._delegates = await self._find()
            self._found_at = now
        able = [one for one in self._delegates if self._excluded.get(one.host, now) <= now]
        return min(able, key=self._cost, default=None)

    def begin(self, delegate: Delegate) -> None:
        """Record that a request is sent to a host."""
        self._running[delegate.host] = self._running.get(delegate.host, 0) + 1

    def end(self, delegate: Delegate) -> None:
        """Record that such a request has ended."""
        self._running[delegate.host] -= 1
        if not self._running[delegate.host]:
            del self._running[delegate.host]

    def exclude(self, delegate: Delegate) -> None:
        """Don't ask a host again for a while."""
        now = self._clock.now()
        self._excluded = {host: until for host, until in self._excluded.items() if until > now}
        self._excluded[delegate.host] = Millis(now + EXCLUSION_MS)

    def _cost(self, delegate: Delegate) -> tuple[int, bool, float]:
        is_remote = delegate.failure_domain != self._failure_domain
        return self._running.get(delegate.host, 0), is_remote, self._rng.random()


@final
class DelegatedForwarder:
    """One request that is delegated to another host.

    :param routed: The request.
    :param context: Dependencies shared by all requests.
    :param client: Sends requests to other hosts.
    :param selector: Selects these hosts.
    :param may_have_run: Whether an attempt of this host may have executed the request.
    """

    def __init__(
        self,
        *,
        routed: RoutedRequest,
        context: ForwardingContext,
        client: DelegateClient,
        selector: DelegateSelector,
        may_have_run: bool = False,
    ) -> None:
        self._routed = routed
        self._context = context
        self._client = client
        self._selector = selector
        self._has_lost = may_have_run
        """Whether an attempt has ended without a known result."""
        self.upstream_part: Final = UpstreamPart()
        self._is_sent = False
        """Whether a delegate has been asked, and has not said that it sends nothing."""

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have been executed."""
        return self._has_lost or self._is_sent

    @property
    def can_be_delegated(self) -> bool:
        """Whether one more host may send the request; no, as several were asked already."""
        return False

    async def serve(self, responder: Responder) -> Refusal | None:
        """Serve the request.

        :returns: A refusal if no upstream's response was sent to the caller, otherwise ``None``.
        :raises HostStoppingError: The request was not sent.
        """
        for _ in range(MAX_DELEGATES):
            delegate = await self._selector.choose()
            if delegate is None:
                break
            if is_quarantined(self._routed, self._context):
                return quarantined(may_have_run=self.may_have_run)
            if not self.may_have_run and not self._context.can_start(self._routed):
                raise HostStoppingError
            self._selector.begin(delegate)
            try:
                refusal, is_final = await self._try(delegate, responder)
            finally:
                self._selector.end(delegate)
            if is_final:
                return refusal
            self._selector.exclude(delegate)
        self._log("No other host can send the request.", HostId(""))
        self._context.metrics.delegated.labels("no-delegate").inc()
        if self._has_lost:
            return upstream_failed(cause="An attempt got no answer")
        return no_upstream(service=self._routed.service, rng=self._context.rng)

    async def _try(self, delegate: Delegate, responder: Responder) -> tuple[Refusal | None, bool]:
        """Delegate the request to one host.

        :returns: The refusal if the caller has got no response, and whether that is final.
        """
        host = HostId(delegate.host)
        self._is_sent = True
        self.upstream_part.upstream, self.upstream_part.end = host, UpstreamEnd.AT_WORK
        try:
            response = await self._client.send(
                address=delegate.address,
                request=self._routed.request,
                time_left_ms=self._routed.deadline - self._context.clock.now(),
            )
            try:
                return await self._pass_on(host, response, responder)
            finally:
                response.close()
        except ExchangeError as error:
            self.upstream_part.end = UpstreamEnd.BROKEN_OFF
            self._log("A delegate did not answer.", host, detail=error.detail)
            self._context.metrics.delegated.labels("lost").inc()
            if error.failure is ExchangeFailure.NOT_SENT:
                self._is_sent = False
                return None, False
            self._has_lost = True
            is_repeatable = self._routed.route.kind is RouteKind.IDEMPOTENT
            if is_repeatable and not responder.begun and await self._may_repeat():
                return None, False
            return upstream_failed(cause="Another host lost the request"), True

    async def _may_repeat(self) -> bool:
        return await self._context.retry_permits.may_repeat(service=self._routed.service)

    async def _pass_on(
        self, host: HostId, response: DelegatedResponse, responder: Responder
    ) -> tuple[Refusal | None, bool]:
        head = response.head
        self._log("A request was delegated.", host, outcome=head.outcome.value, status=head.status)
        self._context.metrics.delegated.labels(head.outcome.value).inc()
        if head.outcome is DelegatedOutcome.UNAVAILABLE:
            self._is_sent = False
            return None, False
        if head.outcome is DelegatedOutcome.REFUSED:
            return self._accept_refusal(head.refusal)
        if head.outcome is DelegatedOutcome.STREAM:
            await responder.begin(status=head.status, reason=head.reason, headers=head.headers)
            await self._pass_on_events(host, response, responder)
            self.upstream_part.end = UpstreamEnd.WHOLE
            await responder.end()
            return None, True
        body = await response.read_all()
        self.upstream_part.end = UpstreamEnd.WHOLE
        await responder.respond(
            status=head.status, reason=head.reason, headers=head.headers, body=body
        )
        return None, True

    async def _pass_on_events(
        self, host: HostId, response: DelegatedResponse, responder: Responder
    ) -> None:
        """Pass on complete events only, as the delegate may end in the middle of one.

        :raises ExchangeError: It did so, or an event is too large.
        """
        buffer = EventBuffer(account=self._context.account, peer=host)
        try:
            while chunk := await response.read_some():
                if complete := buffer.feed(chunk):
                    await responder.write(complete)
            if not buffer.is_empty:
                raise ExchangeError(ExchangeFailure.LOST, "The answer ended within an event")
        except EventError as error:
            raise ExchangeError(ExchangeFailure.TOO_LARGE, str(error)) from error
        finally:
            buffer.close()

    def _accept_refusal(self, refusal: Refusal | None) -> tuple[Refusal | None, bool]:
        if refusal is None or refusal.kind in _ELSEWHERE:
            self._is_sent = False
            return None, False
        if self._has_lost and refusal.kind is RefusalKind.OVERLOADED:
            return upstream_failed(cause="An attempt got no answer"), True
        return refusal, True

    def _log(self, message: str, host: HostId, **inputs: object) -> None:
        request = self._routed.request
        _log.info(
            message,
            request=request.request,
            delegate=host,
            after_ms=self._context.clock.now() - request.arrived,
            is_cut_off=self._context.paths.is_cut_off,
            **inputs,
        )
