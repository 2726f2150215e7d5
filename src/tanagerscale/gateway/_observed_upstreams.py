"""Client of upstreams that observes whether they are reached."""

from __future__ import annotations

from typing import final

from reactivex import Observable
from returns.result import Result

from tanagerscale.core import RequestId
from tanagerscale.forwarding import CopyError
from tanagerscale.forwarding import RunCopy
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.forwarding import UpstreamResponse
from tanagerscale.gateway._counted_response import CountedResponse
from tanagerscale.gateway._platform import PlatformUpstreamClient
from tanagerscale.gateway._request_lease import current_lease
from tanagerscale.upstreams import EngineReport
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamLeavingError
from tanagerscale.upstreams import UpstreamNotice
from tanagerscale.upstreams import UpstreamPaths


@final
class ObservedUpstreams:
    """Passes everything on, and records which upstreams answer.

    :param client: The client.
    :param paths: Receives what is observed.
    """

    def __init__(self, *, client: PlatformUpstreamClient, paths: UpstreamPaths) -> None:
        self._client = client
        self._paths = paths

    @property
    def notices(self) -> Observable[UpstreamNotice]:
        """Emits what upstreams say of themselves in their responses."""
        return self._client.notices

    async def send(self, *, upstream_request: UpstreamRequest) -> UpstreamResponse:
        """Send a request and wait for the status and header fields of the response."""
        number = self._paths.begin_request()
        try:
            response = await self._client.send(upstream_request=upstream_request)
        except UpstreamLeavingError:
            raise
        except ExchangeError:
            self._paths.record_unreached(upstream_request.upstream.upstream)
            raise
        finally:
            self._paths.end_request(number)
        self._paths.record_reached()
        lease = current_lease.get()
        return response if lease is None else CountedResponse(response=response, lease=lease)

    async def copy(
        self, *, source: UpstreamEntry, request: RequestId, target: UpstreamEntry, stop: bool
    ) -> Result[RunCopy, CopyError]:
        """Copy the part of a run's KV cache that the target engine does not have yet."""
        return await self._client.copy(source=source, request=request, target=target, stop=stop)

    async def report(self, *, upstream: UpstreamEntry) -> Result[EngineReport, str]:
        """Return an engine's status report, or an error message."""
        return await self._client.report(upstream=upstream)

    async def drop_copy(self, *, holder: UpstreamEntry, copy: str) -> None:
        """Free an unused copy."""
        await self._client.drop_copy(holder=holder, copy=copy)

    async def probe(self, *, upstream: UpstreamEntry, force_new: bool = False) -> bool:
        """Return whether an upstream answers."""
        return await self._client.probe(upstream=upstream, force_new=force_new)

    def forget(self, *, upstream: UpstreamEntry) -> None:
        """Close the idle connections to an incarnation of an upstream that has ended."""
        self._client.forget(upstream=upstream)
