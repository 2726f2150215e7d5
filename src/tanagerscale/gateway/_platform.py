"""Interfaces that a host requires from the platform it runs on."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import Protocol

from aiohttp import web
from msgspec import Struct
from msgspec import field
from reactivex import Observable
from returns.result import Result

from tanagerscale.core import FailureDomainId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamName
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import EngineControl
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import Responder
from tanagerscale.forwarding import UpstreamClient
from tanagerscale.policy import ByteAccount
from tanagerscale.routes import Configuration
from tanagerscale.store import PolledStore
from tanagerscale.upstreams import ExchangeLog
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamNotice

DEFAULT_HEADER_BYTES: Final = 16_384
"""Largest accepted head where no configuration names another one."""

RequestHandler = Callable[[CallerRequest, Responder], Awaitable[None]]


class PlatformUpstreamClient(UpstreamClient, EngineControl, Protocol):
    """Client that sends requests to upstreams and controls the runs on engines."""

    @property
    def notices(self) -> Observable[UpstreamNotice]:
        """Emits what upstreams say of themselves in their responses."""

    async def probe(self, *, upstream: UpstreamEntry, force_new: bool = False) -> bool:
        """Return whether this incarnation of an upstream answers, whatever it says.

        :param upstream: The upstream.
        :param force_new: Whether to open a new connection instead of reusing an idle one.
        """

    def forget(self, *, upstream: UpstreamEntry) -> None:
        """Close the idle connections to an incarnation of an upstream that has ended."""


class CallerCodec(Protocol):
    """Decodes the requests of callers."""

    def decode(
        self, request: web.BaseRequest, body: bytes, arrived: Millis
    ) -> Result[CallerRequest, Refusal]:
        """Return the request, or a refusal that names what is missing."""

    def echoed_headers(self, request: web.BaseRequest) -> Sequence[Header]:
        """Return the header fields of a request that the gateway's own responses repeat."""


class CallerRules(Struct, frozen=True, kw_only=True):
    """Limits that apply to callers; read on each use, because the configuration may change.

    :param body_bytes: Returns the largest accepted body in bytes.
    :param header_timeout_ms: Returns the longest time for the head of a request to arrive.
    :param idle_timeout_ms: Returns how long a connection may stay idle.
    :param header_bytes: Returns the largest accepted head in bytes, with empty lines before it.
    """

    body_bytes: Callable[[], int]
    header_timeout_ms: Callable[[], int]
    idle_timeout_ms: Callable[[], int]
    header_bytes: Callable[[], int] = lambda: DEFAULT_HEADER_BYTES


class Platform(Struct, frozen=True, kw_only=True):
    """Adapters to the platform, in the project's own types.

    :param store: Client of the key-value store.
    :param upstreams: Client of upstreams and engines.
    :param operator_prefix: Prefix of the store keys that operators write.
    :param configuration_key: Store key of the configuration.
    :param decode_configuration: Decodes the configuration, or returns what is wrong with it.
    :param parse_evacuated_domain: Returns the failure domain that a key evacuates, or ``None``.
    :param registry_prefix: Prefix of the store keys under which upstreams register.
    :param decode_entry: Decodes the entry of an upstream from its key and value.
    :param parse_upstream_name: Returns the name of the upstream that registers under a key.
    :param callers: Decodes the requests of callers.
    :param close: Closes the connections to the store and to upstreams.
    :param exchange_log: Counts of the exchanges with upstreams and the store.
    :param account: Account of incomplete answers, which all connections of the host share.
    """

    store: PolledStore
    upstreams: PlatformUpstreamClient
    operator_prefix: str
    configuration_key: str
    decode_configuration: Callable[[bytes], Result[Configuration, str]]
    parse_evacuated_domain: Callable[[str], FailureDomainId | None]
    registry_prefix: str
    decode_entry: Callable[[str, bytes], Result[UpstreamEntry, str]]
    parse_upstream_name: Callable[[str], UpstreamName]
    callers: CallerCodec
    close: Callable[[], Awaitable[None]]
    exchange_log: ExchangeLog = field(default_factory=ExchangeLog)
    account: ByteAccount = field(default_factory=ByteAccount)
