"""Requests and control calls to an engine with scripted answers."""

from __future__ import annotations

from msgspec import json
from msgspec.structs import replace

from tanagerscale.core import Clock
from tanagerscale.core import RequestId
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.platform._engines import PlatformUpstreams
from tanagerscale.platform._headers import REQUEST_ID
from tanagerscale.platform._headers import SIGNATURE
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import UpstreamEntry
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_request
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import encode_answer

MOVE_PATH = "/v1/kv-move"


def make_pool() -> ConnectionPool:
    """Return a pool that keeps idle connections for the whole test."""
    return ConnectionPool(clock=Clock(), connect_timeout_ms=2000, idle_ms=60_000)


def make_engine_entry(address: str) -> UpstreamEntry:
    """Return the entry of an engine at an address."""
    return replace(make_entry("x"), address=address)


def make_upstream_request(
    entry: UpstreamEntry, *, id: str, method: str = "POST", body: bytes = b"body"
) -> UpstreamRequest:
    """Return a request with an id to an engine."""
    request = replace(make_request(name=id, body=body), method=method, headers=((REQUEST_ID, id),))
    return UpstreamRequest(request=request, upstream=entry, account=None, time_left_ms=None)


async def send(client: PlatformUpstreams, entry: UpstreamEntry, *, id: str) -> tuple[int, bytes]:
    """Send a request and return the status and the body of its answer."""
    response = await client.send(upstream_request=make_upstream_request(entry, id=id))
    return response.status, await response.read_all()


async def copy(client: PlatformUpstreams, entry: UpstreamEntry, *, run: str) -> str:
    """Order a copy of a run; return its handle, or the failure."""
    result = await client.copy(
        source=entry, request=RequestId(run), target=make_entry("y"), stop=True
    )
    return result.map(lambda copied: copied.copy).value_or("") or str(result.failure().failure)


def answer_properly(request: PeerRequest) -> bytes:
    """Return the answer of a sound engine, from whose body the request can be told."""
    if request.target == MOVE_PATH:
        order = json.decode(request.body)
        moved = {"handle": f"handle of {order['id']}", "createdRev": 3}
        return _encode_json(moved)
    if request.target == "/v1/report":
        return _encode_json({"running": 1, "runs": []})
    if request.method == "DELETE":
        return _encode_json({})
    body = f"answer to {request.id}".encode()
    return encode_answer(id=request.id, body=body, fields=[(SIGNATURE, "stamp")])


def _encode_json(document: object) -> bytes:
    fields = [("Content-Type", "application/json")]
    return encode_answer(body=json.encode(document), fields=fields)
