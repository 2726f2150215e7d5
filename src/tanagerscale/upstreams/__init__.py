"""Clients for upstreams: model engines and plain services."""

from __future__ import annotations

from tanagerscale.upstreams._connection import DEAD_PEER_TIMEOUT_S
from tanagerscale.upstreams._connection import READ_BUFFER_BYTES
from tanagerscale.upstreams._connection import ExchangeError
from tanagerscale.upstreams._connection import ExchangeFailure
from tanagerscale.upstreams._connection import HttpConnection
from tanagerscale.upstreams._connection import ResponseHead
from tanagerscale.upstreams._connection import UpstreamLeavingError
from tanagerscale.upstreams._connection import count_open_connections
from tanagerscale.upstreams._entries import UpstreamEntry
from tanagerscale.upstreams._entries import UpstreamState
from tanagerscale.upstreams._exchange_log import ExchangeKind
from tanagerscale.upstreams._exchange_log import ExchangeLabel
from tanagerscale.upstreams._exchange_log import ExchangeLog
from tanagerscale.upstreams._exchanges import AnswerRule
from tanagerscale.upstreams._exchanges import Exchange
from tanagerscale.upstreams._exchanges import ExchangeClient
from tanagerscale.upstreams._exchanges import make_json_call
from tanagerscale.upstreams._http_engine import HttpEngineClient
from tanagerscale.upstreams._http_service import HttpServiceClient
from tanagerscale.upstreams._http_service import ServiceCall
from tanagerscale.upstreams._http_service import ServiceResponse
from tanagerscale.upstreams._named_limits import NamedLimits
from tanagerscale.upstreams._named_limits import RateObservation
from tanagerscale.upstreams._notices import UpstreamNotice
from tanagerscale.upstreams._paths import PROBE_TIMEOUT_MS
from tanagerscale.upstreams._paths import UpstreamPaths
from tanagerscale.upstreams._pauses import UpstreamPauses
from tanagerscale.upstreams._pool import ConnectionPool
from tanagerscale.upstreams._pooled_response import PooledResponse
from tanagerscale.upstreams._protocol import EngineClient
from tanagerscale.upstreams._protocol import TokenBatches
from tanagerscale.upstreams._protocol import UpstreamError
from tanagerscale.upstreams._protocol import UpstreamErrorKind
from tanagerscale.upstreams._reports import EngineReport
from tanagerscale.upstreams._reports import RunState
from tanagerscale.upstreams._sessions import make_single_use_session

__all__ = [
    "DEAD_PEER_TIMEOUT_S",
    "PROBE_TIMEOUT_MS",
    "READ_BUFFER_BYTES",
    "AnswerRule",
    "ConnectionPool",
    "EngineClient",
    "EngineReport",
    "Exchange",
    "ExchangeClient",
    "ExchangeError",
    "ExchangeFailure",
    "ExchangeKind",
    "ExchangeLabel",
    "ExchangeLog",
    "HttpConnection",
    "HttpEngineClient",
    "HttpServiceClient",
    "NamedLimits",
    "PooledResponse",
    "RateObservation",
    "ResponseHead",
    "RunState",
    "ServiceCall",
    "ServiceResponse",
    "TokenBatches",
    "UpstreamEntry",
    "UpstreamError",
    "UpstreamErrorKind",
    "UpstreamLeavingError",
    "UpstreamNotice",
    "UpstreamPaths",
    "UpstreamPauses",
    "UpstreamState",
    "count_open_connections",
    "make_json_call",
    "make_single_use_session",
]
