"""The client of upstreams checks a request again when it has got a connection for it."""

from __future__ import annotations

from collections.abc import AsyncIterator

from msgspec.structs import replace
import pytest
import pytest_asyncio

from standins.platform_engine import Ledger
from standins.platform_engine import UpstreamEmulator
from tanagerscale.core import Clock
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.platform._engines import PlatformUpstreams
from tanagerscale.platform._headers import REQUEST_ID
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import UpstreamLeavingError
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_request


@pytest_asyncio.fixture
async def upstream() -> AsyncIterator[UpstreamEmulator]:
    """Start an upstream."""
    started = UpstreamEmulator(upstream="x", ledger=Ledger())
    await started.start()
    yield started
    await started.stop()


# An upstream that left while a connection was opened still got the request.
@pytest.mark.asyncio
async def test_nothing_is_sent_when_the_upstream_leaves_while_a_connection_is_opened(
    upstream: UpstreamEmulator,
) -> None:
    pool = ConnectionPool(clock=Clock(), connect_timeout_ms=2000)
    opened: list[int] = []

    def check() -> None:
        opened.append(pool.opened)
        raise UpstreamLeavingError(UpstreamId("x"))

    request = UpstreamRequest(
        request=replace(make_request(), headers=((REQUEST_ID, "request"),)),
        upstream=replace(make_entry("x"), address=upstream.address),
        account=None,
        time_left_ms=None,
    )
    client = PlatformUpstreams(pool=pool)
    with pytest.raises(UpstreamLeavingError):
        await client.send(upstream_request=replace(request, check=check))
    assert opened == [1]
    response = await client.send(upstream_request=request)
    await response.read_all()
    assert len(upstream._ledger.received_requests) == 1
    pool.close()
