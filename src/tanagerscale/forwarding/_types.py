"""Requests, responses and refusals, and the interfaces to callers and upstreams."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from enum import Enum
from enum import unique
from typing import Final
from typing import Protocol

from msgspec import Struct
from returns.result import Result

from tanagerscale.core import ClientAccountId
from tanagerscale.core import FailureDomainId
from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import RequestId
from tanagerscale.core import ServiceId
from tanagerscale.forwarding._request_state import ConnectionState
from tanagerscale.quarantine import Fingerprint
from tanagerscale.quarantine import fingerprint_of
from tanagerscale.routes import ANY_FAILURE_DOMAIN
from tanagerscale.routes import Caller
from tanagerscale.routes import EngineCapabilities
from tanagerscale.routes import Route
from tanagerscale.upstreams import EngineReport
from tanagerscale.upstreams import UpstreamEntry

MIN_SERVER_ERROR_STATUS: Final = 500

Header = tuple[str, str]

PUBLIC_ACCOUNT: Final = ClientAccountId("")
"""Account id used for callers of public routes."""


class PromptPart(Struct, frozen=True, kw_only=True):
    """A part of a prompt that other requests may share.

    :param part: Id of the part.
    :param tokens: Length in tokens.
    """

    part: str
    tokens: int


class Demand(Struct, frozen=True, kw_only=True):
    """The language model request inside a caller's request.

    :param model: The model.
    :param prompt_tokens: Length of the prompt in tokens.
    :param max_tokens: Maximum length of the answer in tokens, set by the caller.
    :param expected_tokens: The caller's own estimate of the answer's length, or ``None``.
    :param parts: The parts of the prompt in order; the last one belongs to this request only.
    """

    model: ModelId
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int | None
    parts: tuple[PromptPart, ...]


class CallerRequest(Struct, frozen=True, kw_only=True):
    """One request as received from a caller.

    :param request: Id set by the caller; each retry of the caller has another id.
    :param method: HTTP method.
    :param target: Path and query, exactly as received.
    :param host: Requested host name.
    :param path: Path without the query.
    :param headers: Header fields to forward.
    :param body: The complete body.
    :param key: Key of a client account, or ``None``.
    :param time_left_ms: How long the caller waits, counted from the arrival; ``None`` if not set.
    :param arrived: Time at which the request was read.
    :param demand: The language model request, or ``None``.
    :param resume_after: Id of the last stream event that the caller has; empty for a new stream.
    :param received: Time at which its body was complete; ``None`` for the time of its arrival.
    """

    request: RequestId
    method: str
    target: str
    host: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    key: str | None
    time_left_ms: int | None
    arrived: Millis
    demand: Demand | None
    resume_after: str
    received: Millis | None = None


class RoutedRequest(Struct, frozen=True, kw_only=True):
    """A request with its route, caller and limits from the configuration.

    :param request: The request as received.
    :param route: The matching route.
    :param caller: The account that sent the request.
    :param service: The target service.
    :param engine: Capabilities of the service's engines; ``None`` if it runs no language model.
    :param deadline: Time at which the request times out.
    :param domains: Failure domains in which the request may run; empty means any.
    """

    request: CallerRequest
    route: Route
    caller: Caller
    service: ServiceId
    engine: EngineCapabilities | None
    deadline: Millis
    domains: frozenset[FailureDomainId] = ANY_FAILURE_DOMAIN

    @property
    def fingerprint(self) -> Fingerprint:
        """Hash that all repeats of the request share on every host."""
        account = self.caller.account or PUBLIC_ACCOUNT
        content = self.request.target.encode() + b"\0" + self.request.body
        return fingerprint_of(key=b"", account=account, body=content)


class Responder(Protocol):
    """Sends one response to a caller."""

    @property
    def begun(self) -> bool:
        """Whether the status and header fields have been sent."""

    @property
    def connection_state(self) -> ConnectionState:
        """State of the caller's connection, for the log."""

    async def begin(self, *, status: int, reason: str, headers: Sequence[Header]) -> None:
        """Send the status and header fields of a response whose body is sent in chunks."""

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body; waits while the caller reads slowly."""

    async def end(self) -> None:
        """Mark the response as complete."""

    async def respond(
        self, *, status: int, reason: str, headers: Sequence[Header], body: bytes
    ) -> None:
        """Send a complete response at once."""

    async def refuse(self, *, refusal: Refusal) -> None:
        """Send a refusal."""

    def abort(self) -> None:
        """Break the connection, so that the partial response does not look complete."""


@unique
class RefusalKind(Enum):
    """Reasons for which the host itself answers a request."""

    NOT_READY = "not-ready"
    UNKNOWN_ROUTE = "unknown-route"
    UNKNOWN_KEY = "unknown-key"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    OVERLOADED = "overloaded"
    """The request has not run and will not; a later retry may succeed."""
    NO_PATH = "no-path"
    """This host reaches no upstream; the request has not run and will not."""
    QUARANTINED = "quarantined"
    """The request has crashed upstreams and was not run again."""
    UPSTREAM_FAILED = "upstream-failed"
    """The request may have run."""
    TIMED_OUT = "timed-out"
    """The request may have run, and its deadline has passed."""
    BODY_TIMED_OUT = "body-timed-out"
    """The body has not arrived in time; the request has not run and will not."""


class Refusal(Struct, frozen=True, kw_only=True):
    """An error response produced by this host and not by an upstream.

    :param kind: Reason of the refusal.
    :param detail: One sentence for the caller that names the remedy.
    :param retry_after_ms: Delay after which a retry may succeed; ``None`` if a retry does not help.
    :param is_held_back: Whether an upstream could take the request but for a pause that it asked
        for or its rate limit.
    """

    kind: RefusalKind
    detail: str
    retry_after_ms: int | None = None
    is_held_back: bool = False


class Continuation(Struct, frozen=True, kw_only=True):
    """Where an engine resumes a moved run.

    :param holder: Address of the engine that holds the run's KV cache.
    :param copy: Id of the KV cache copy at the holder.
    :param after_event: Number of the last event that was relayed to the caller.
    """

    holder: str
    copy: str
    after_event: int


def _accept() -> None:
    """Let any request be sent."""


class UpstreamRequest(Struct, frozen=True, kw_only=True):
    """A request to one upstream.

    :param request: The caller's request.
    :param upstream: The upstream.
    :param account: Client account of the caller; ``None`` on public routes.
    :param time_left_ms: Time after which the upstream may stop, counted from now; ``None`` for no
        limit.
    :param priority: Admission priority at the engine, 0 first; ``None`` uses the engine's default.
    :param continuation: Where to resume a moved run; ``None`` for a new run.
    :param check: Called immediately before the first byte is sent; raises an error if the request
        must not be sent any more.
    """

    request: CallerRequest
    upstream: UpstreamEntry
    account: ClientAccountId | None
    time_left_ms: int | None
    priority: int | None = None
    continuation: Continuation | None = None
    check: Callable[[], None] = _accept


class UpstreamResponse(Protocol):
    """A response whose status and header fields have arrived and whose body is still to be read."""

    @property
    def status(self) -> int:
        """HTTP status code."""

    @property
    def reason(self) -> str:
        """HTTP reason phrase."""

    @property
    def headers(self) -> Sequence[Header]:
        """Header fields for the caller."""

    @property
    def not_executed(self) -> bool:
        """Whether the upstream reports that it did not execute the request."""

    @property
    def is_address_reassigned(self) -> bool:
        """Whether the address now belongs to another upstream."""

    @property
    def named_rates(self) -> Sequence[float | None]:
        """Rates to which the upstream limits all hosts together, in requests a second.

        ``None`` stands for a value that is no decimal number.
        """

    @property
    def closes_connection(self) -> bool:
        """Whether the upstream closes the connection after the response."""

    @property
    def is_close_delimited(self) -> bool:
        """Whether only the end of the connection marks the end of the body."""

    async def read_some(self) -> bytes:
        """Return the next bytes of the body, or empty bytes after its proper end.

        :raises ExchangeError: The body was truncated.
        """

    async def read_all(self) -> bytes:
        """Return the complete body.

        :raises ExchangeError: The body was truncated, or is too large.
        """

    async def skip(self) -> None:
        """Read and discard the body, so that the connection can be used again.

        :raises ExchangeError: The body was truncated, too large or not there in time.
        """

    def close(self) -> None:
        """Discard the response and close its connection, so that the upstream stops."""


class UpstreamClient(Protocol):
    """Sends requests to upstreams."""

    async def send(self, *, upstream_request: UpstreamRequest) -> UpstreamResponse:
        """Send a request and wait for the status and header fields of the response.

        Getting a connection may take some time, after which the request is checked again.

        :raises ExchangeError: The upstream did not respond.
        """


class RunCopy(Struct, frozen=True, kw_only=True):
    """A copy of a run's KV cache.

    :param copy: Id of the copy; the run can resume from it once.
    :param events: Number of events the run had produced when the copy was complete.
    """

    copy: str
    events: int


@unique
class CopyFailure(Enum):
    """Reasons for which a run was not copied."""

    UNKNOWN_RUN = "unknown-run"
    """The run has not started or has ended."""
    BUSY = "busy"
    """The run is already being copied."""
    NO_ROOM = "no-room"
    """The target engine has no free memory or can't be reached."""
    LOST = "lost"
    """The engine did not respond; the run may have been stopped."""


class CopyError(Struct, frozen=True, kw_only=True):
    """The failure to copy a run.

    :param failure: Reason of the failure.
    :param detail: Short description from the engine.
    :param retained_copy: Id of the KV cache that the source retains after it stopped the run;
        ``None`` if the run was not stopped.
    """

    failure: CopyFailure
    detail: str
    retained_copy: str | None = None


class EngineControl(Protocol):
    """Controls the runs of engines."""

    async def copy(
        self, *, source: UpstreamEntry, request: RequestId, target: UpstreamEntry, stop: bool
    ) -> Result[RunCopy, CopyError]:
        """Copy the part of a run's KV cache that the target engine does not have yet.

        :param source: Engine that runs it.
        :param request: The run.
        :param target: Engine that receives the copy.
        :param stop: Whether to stop the run first; its stream then ends without the final event.
        """

    async def report(self, *, upstream: UpstreamEntry) -> Result[EngineReport, str]:
        """Return an engine's status report, or an error message."""

    async def drop_copy(self, *, holder: UpstreamEntry, copy: str) -> None:
        """Free an unused copy."""
