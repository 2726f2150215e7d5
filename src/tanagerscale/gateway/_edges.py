"""What a host needs from the platform it runs on."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

from aiohttp import web
from msgspec import Struct
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
from tanagerscale.routes import Configuration
from tanagerscale.store import Store
from tanagerscale.upstreams import UpstreamEntry

Serve = Callable[[CallerRequest, Responder], Awaitable[None]]


class UpstreamEdge(UpstreamClient, EngineControl, Protocol):
    """Sends requests to upstreams and asks engines about their runs."""

    def forget(self, *, upstream: UpstreamEntry) -> None:
        """Close the idle connections to a start of an upstream that is over."""


class CallerCodec(Protocol):
    """Decodes callers' requests."""

    def decode(
        self, request: web.BaseRequest, body: bytes, arrived: Millis
    ) -> Result[CallerRequest, Refusal]:
        """Return the request, or the answer that tells what it lacks."""

    def echoed(self, request: web.BaseRequest) -> Sequence[Header]:
        """Return the fields of a request that answers of our own repeat."""


class CallerRules(Struct, frozen=True, kw_only=True):
    """What callers may do; asked for anew each time, since declarations change.

    :param body_bytes: Returns the largest body.
    :param idle_timeout_ms: Returns how long a connection may stay idle.
    """

    body_bytes: Callable[[], int]
    idle_timeout_ms: Callable[[], int]


class Edges(Struct, frozen=True, kw_only=True):
    """The platform, as the product sees it.

    :param store: The key-value service.
    :param upstreams: Requests to upstreams.
    :param operator_prefix: What the keys begin with that operators write in the store.
    :param configuration_key: Where their configuration stands.
    :param decode_configuration: Reads it.
    :param evacuated_domain: Returns which failure domain a key evacuates, or ``None``.
    :param registry_prefix: Where upstreams write their entries.
    :param decode_entry: Reads one.
    :param name_of: Returns whose entry stands under a key.
    :param callers: Decodes callers' requests.
    :param close: Ends the connections to the store and to upstreams.
    """

    store: Store
    upstreams: UpstreamEdge
    operator_prefix: str
    configuration_key: str
    decode_configuration: Callable[[bytes], Result[Configuration, str]]
    evacuated_domain: Callable[[str], FailureDomainId | None]
    registry_prefix: str
    decode_entry: Callable[[str, bytes], Result[UpstreamEntry, str]]
    name_of: Callable[[str], UpstreamName]
    callers: CallerCodec
    close: Callable[[], Awaitable[None]]
