"""No decoder of bytes that other processes wrote raises an error, whatever they contain."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from collections.abc import Callable
import json
from random import Random
from typing import Any
from typing import Final

import cbor2
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
import msgspec
from multidict import CIMultiDict
from multidict import CIMultiDictProxy
import pytest

from tanagerscale.audit import decode_audit
from tanagerscale.claims._records import decode_record
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.declarations._head import decode_head as decode_declarations_head
from tanagerscale.gateway._compression import decompress
from tanagerscale.gateway._delegation_wire import decode_head as decode_delegated_head
from tanagerscale.gateway._delegation_wire import decode_request
from tanagerscale.gateway._presence import HostPresence
from tanagerscale.generated.records import HostRecord
from tanagerscale.membership._wire import decode_frame
from tanagerscale.platform._configuration import decode_configuration
from tanagerscale.platform._engines import PlatformUpstreams
from tanagerscale.platform._engines import _decode_copy_answer
from tanagerscale.platform._registry import decode_entry
from tanagerscale.platform._store import _decode_body
from tanagerscale.platform._store import _Reply
from tanagerscale.platform._wire import WireChanges
from tanagerscale.platform._wire import WireCommitted
from tanagerscale.platform._wire import WireLease
from tanagerscale.platform._wire import WireRange
from tanagerscale.quarantine._persistence import decode_verdict
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch
from tanagerscale.store._gateway import parse_error_response
from tanagerscale.store._watch import _to_batch
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import ResponseHead
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams._http_engine import _build_refusal_error
from tanagerscale.upstreams._http_service import _parse_refusal
from testing._fake_store import FakeStore
from testing._random_cases import random_case_settings
from testing.test_odd_entries import ENTRY

Decoder = Callable[[bytes], object]

DEPTH: Final = 5000
"""More than the stack holds."""


def _read_records(value: bytes) -> object:
    presence = HostPresence(
        store=FakeStore(),
        prefix="p/",
        record=HostRecord(host="a", peers="127.0.0.1:1", incarnation=1),
        on_records=lambda *_: None,
        clock=Clock(),
        rng=Random(1),
    )
    at = StoreRevision(1)
    entry = StoreEntry(key="p/hosts/b", value=value, create_revision=at, mod_revision=at)
    presence.on_snapshot(StoreRange(entries=(entry,), revision=at))
    presence.on_changes(WatchBatch(entries=(entry,), deleted=(), revision=at))
    return None


class _AnsweringUpstreams:
    """Gives one answer to all control calls to engines."""

    def __init__(self, value: bytes) -> None:
        self._value = value

    async def call(self, *_: object, **__: object) -> tuple[Any, bytes]:
        return _REPLY, self._value


def _read_report(value: bytes) -> object:
    upstream: UpstreamEntry = decode_entry("servers/a", json.dumps(ENTRY).encode()).unwrap()
    client = PlatformUpstreams(pool=ConnectionPool(clock=Clock(), connect_timeout_ms=1, idle_ms=1))
    client._call = _AnsweringUpstreams(value).call  # type: ignore[method-assign]

    async def run() -> None:
        await client.report(upstream=upstream)
        await client.probe(upstream=upstream)

    asyncio.run(run())
    return None


_REPLY: Final = ResponseHead(
    status=200,
    reason="OK",
    headers=CIMultiDictProxy(CIMultiDict()),
    is_close_delimited=False,
    keep_alive=True,
)

DECODERS: Final[dict[str, Decoder]] = {
    "upstream entry": lambda value: decode_entry("servers/a", value),
    "configuration": decode_configuration,
    "store read": lambda value: _decode_body(_Reply(status=200, body=value, era=0), WireRange),
    "store changes": lambda value: _decode_body(_Reply(status=200, body=value, era=0), WireChanges),
    "store write": lambda value: _decode_body(_Reply(status=200, body=value, era=0), WireCommitted),
    "store lease": lambda value: _decode_body(_Reply(status=200, body=value, era=0), WireLease),
    "engine report": _read_report,
    "engine copy": _decode_copy_answer,
    "engine refusal": lambda value: _build_refusal_error(503, value),
    "service refusal": _parse_refusal,
    "host entry": _read_records,
    "peer frame": decode_frame,
    "peer configuration": lambda value: decompress(value, known=b""),
    "delegated request": lambda value: decode_request(value, arrived=Millis(0)),
    "delegated head": lambda value: decode_delegated_head(b64encode(value).decode()),
    "delegated head field": lambda value: decode_delegated_head(value.decode("latin-1")),
    "claim": decode_record,
    "verdict": decode_verdict,
    "declarations head": lambda value: decode_declarations_head(value=value),
    "audit record": lambda value: decode_audit(value=value),
    "etcd error": parse_error_response,
    "etcd watch": _to_batch,
}

FIELDS: Final = sorted(
    {
        *ENTRY,
        *("version", "routes", "services", "limits", "tenants", "name", "items", "events"),
        *("key", "value", "revision", "createdRev", "lease", "asOf", "ttlMs", "handle", "runs"),
        *("waiting", "leaves_ms", "host", "peers", "incarnation", "cores", "chunks", "delta"),
        *("kind", "state", "body", "status", "result", "error", "message", "code", "header"),
        *("request", "time_left_ms", "outcome", "headers", "reason", "unknown"),
    }
)

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([2**53, 2**63, -(2**63) - 1, 2**64, 10**30, 10**400, -(10**400)])
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from(["127.0.0.1:70000", "1" * 5000, "ready", "\x00", "a" * 100_000])
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.sampled_from(FIELDS), inner, max_size=6),
    max_leaves=12,
)


def _nest(value: bytes, opening: bytes, closing: bytes) -> bytes:
    return opening * DEPTH + value + closing * DEPTH


@st.composite
def _json_documents(draw: st.DrawFn) -> bytes:
    """Draw JSON, with numbers and nesting that no sound writer writes, and broken JSON."""
    document = json.dumps(draw(VALUES)).encode()
    match draw(st.integers(0, 5)):
        case 0:
            return _nest(document, b"[", b"]")
        case 1:
            return _nest(document, b'{"%s":' % draw(st.sampled_from(FIELDS)).encode(), b"}")
        case 2:
            at = draw(st.integers(0, len(document)))
            return document[:at] + draw(st.binary(max_size=4)) + document[at:]
        case 3:
            return document[: draw(st.integers(0, len(document)))]
        case _:
            return document


def _encode_msgpack(value: object) -> bytes:
    try:
        return msgspec.msgpack.encode(value)
    except OverflowError:
        return b"\xc1"


ANY_BYTES = (
    _json_documents()
    | VALUES.map(cbor2.dumps)
    | VALUES.map(_encode_msgpack)
    | st.binary(max_size=200)
)


@pytest.mark.parametrize("name", DECODERS)
@random_case_settings(examples=60)
@given(value=ANY_BYTES)
@example(value=_nest(b"1", b"[", b"]"))
@example(value=_nest(b"1", b'{"unknown":', b"}"))
@example(value=b'{"unknown":' + _nest(b"1", b"[", b"]") + b"}")
@example(value=b"[" * 100_000)
@example(value=b"\x81" * DEPTH + b"\x01")
@example(value=b"\x91" * DEPTH + b"\x01")
@example(value=b"\x81\xa7unknown" + b"\x91" * DEPTH + b"\x01")
@example(value=b'{"unknown":' + b"9" * 5000 + b"}")
@example(value=b'{"unknown":1e999}')
@example(value=b'{"service":"\xff"}')
@example(value=b'{"host":"\xff","peers":"\xff"}')
@example(value=b'{"kind":"\xff","message":"\xff"}')
@example(value=b'{"runs":[["a",1e308,1]]}')
@example(value=b'{"runs":[["a",9' + b"0" * 400 + b",1]]}")
def test_decoder_returns_whatever_bytes_it_gets(name: str, value: bytes) -> None:
    DECODERS[name](value)
