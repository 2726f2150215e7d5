"""No request is sent to an upstream on any way once it is known to have what crashes upstreams."""

from __future__ import annotations

import ast
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

from msgspec import structs
import pytest

from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import ForwardingContext
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding import RoutedRequest
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.forwarding import _plain
from tanagerscale.forwarding import _segments
from tanagerscale.forwarding import _sending
from tanagerscale.forwarding._delegation import DelegatedForwarder
from tanagerscale.forwarding._delegation import DelegatedResponse
from tanagerscale.forwarding._plain import PlainForwarder
from tanagerscale.forwarding._sending import RESUME_AT_LEAVING_MS
from tanagerscale.forwarding._sending import QuarantinedError
from tanagerscale.forwarding._sending import SendPath
from tanagerscale.forwarding._sending import send_request
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.forwarding._suspected_requests import get_part_keys
from tanagerscale.generated.messages import Delegate
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamLeavingError
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import GatewayFakes
from testing._gateway_fakes import NoDelegates
from testing._gateway_fakes import make_delegate_selector
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import make_stream_mover
from testing._gateway_fakes import route_request
from testing._virtual_time import run_virtually

SOURCE = Path(_sending.__file__).parent.parent
PARTS = ("route", "bad", "own")
HEDGE_WAIT_S = 10.0
"""Much longer than the delay after which a request is hedged."""
LONG_AFTER_NOTICE_MS = 2000
SERVED_BY_THE_OTHER = (SendPath.FIRST, SendPath.PLACED, SendPath.RESUMED)
"""Paths on which the other upstream can take the request."""
LOST = ExchangeError(ExchangeFailure.LOST, "connection reset")
EVENTS = [f"id: {number}\ndata: {number}\n\n".encode() for number in range(1, 4)]


@dataclass
class _Client:
    """Reacts to requests in turn, and convicts their part as the last of the reactions is due."""

    reactions: list[FakeResponse | ExchangeError | None]
    convict: Callable[[], None]
    arrived: list[UpstreamRequest] = field(default_factory=list)

    async def send(self, *, upstream_request: UpstreamRequest) -> FakeResponse:
        """React to a request; ``None`` hangs, and more requests than reactions are answered."""
        self.arrived.append(upstream_request)
        number = len(self.arrived)
        if number == len(self.reactions):
            self.convict()
        if number > len(self.reactions):
            return FakeResponse(chunks=[*EVENTS])
        reaction = self.reactions[number - 1]
        if reaction is None:
            await asyncio.Event().wait()
        if isinstance(reaction, FakeResponse):
            return reaction
        raise reaction or LOST


@dataclass
class _Case:
    """A request that gets to upstreams on one way.

    :param fakes: Components of the host.
    :param client: The upstreams.
    :param context: Dependencies of the request.
    :param routed: The request.
    """

    fakes: GatewayFakes
    client: _Client
    context: ForwardingContext
    routed: RoutedRequest

    async def serve_plain(self) -> Refusal | None:
        """Forward it as a plain request."""
        return await PlainForwarder(routed=self.routed, context=self.context).serve(FakeResponder())

    async def serve_stream(self) -> Refusal | None:
        """Forward it as a stream, of which a copy is made once it has begun."""
        run = StreamRun(
            routed=self.routed,
            responder=FakeResponder(),
            context=self.context,
            admission=Admission(context=self.context, placer=self.fakes.single_host.client),
            hooks=make_stream_mover(self.fakes),
        )
        serving = asyncio.create_task(run.serve())
        while not run.begun:
            await asyncio.sleep(0.001)
        entry = self.fakes.upstreams.get(UpstreamId("y"))
        assert entry is not None
        run.snapshot = Snapshot(entry=entry, copy="c", taken=self.context.clock.now())
        return await serving


def _make_case(
    kind: RouteKind, reactions: list[FakeResponse | ExchangeError | None], *, is_convicted: bool
) -> _Case:
    fakes = make_gateway_fakes(make_entry("x"), make_entry("y"))
    request = make_request(prompt=100, parts=PARTS)
    routed = route_request(request, make_route(kind=kind, timeout_ms=39_000))

    def convict() -> None:
        if is_convicted:
            for upstream in ("a", "b", "c"):
                fakes.context.suspects.record_crash(
                    upstream=UpstreamId(upstream), runs=[get_part_keys(routed)]
                )

    client = _Client(reactions, convict)
    context = structs.replace(fakes.context, upstream_client=client)
    fakes.context = context
    if not reactions:
        convict()
    return _Case(fakes, client, context, routed)


@dataclass(frozen=True)
class _Way:
    """How a request gets to an upstream by a path.

    :param kind: Kind of its route.
    :param reactions: What upstreams do before.
    :param serve: Forwards it.
    """

    kind: RouteKind
    reactions: Callable[[], list[FakeResponse | ExchangeError | None]]
    serve: Callable[[_Case], Awaitable[Refusal | None]]


WAYS = {
    SendPath.FIRST: _Way(RouteKind.IDEMPOTENT, list, _Case.serve_plain),
    SendPath.REPEATED: _Way(RouteKind.IDEMPOTENT, lambda: [LOST], _Case.serve_plain),
    SendPath.HEDGED: _Way(RouteKind.IDEMPOTENT, lambda: [None], _Case.serve_plain),
    SendPath.PLACED: _Way(RouteKind.STREAMING, list, _Case.serve_stream),
    SendPath.PLACED_AGAIN: _Way(
        RouteKind.STREAMING,
        lambda: [FakeResponse(status=503, not_executed=True, chunks=[])],
        _Case.serve_stream,
    ),
    SendPath.RESUMED: _Way(
        RouteKind.STREAMING,
        lambda: [FakeResponse(chunks=[*EVENTS[:2], None], pause_ms=30)],
        _Case.serve_stream,
    ),
}
"""A way for each path; a path without one fails the tests."""


@pytest.fixture
def sent_paths(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Paths of the requests that are sent."""
    paths: list[str] = []

    def record(*_: object, path: str) -> None:
        paths.append(path)

    monkeypatch.setattr(_sending, "record_suspected_request", record)
    return paths


@pytest.mark.parametrize("path", list(SendPath))
def test_request_gets_to_an_upstream_by_the_path(path: SendPath, sent_paths: list[str]) -> None:
    way = WAYS[path]

    async def scenario() -> int:
        case = _make_case(way.kind, way.reactions(), is_convicted=False)
        await way.serve(case)
        return len(case.client.arrived)

    assert run_virtually(scenario()) == len(way.reactions()) + 1
    assert sent_paths[-1] == path.value


# Requests went on to the next upstream on ways that looked for the verdict once, or never.
@pytest.mark.parametrize("path", [path for path in SendPath if path is not SendPath.HEDGED])
def test_nothing_is_sent_by_the_path_when_a_part_of_the_request_is_convicted(
    path: SendPath,
) -> None:
    way = WAYS[path]

    async def scenario() -> tuple[int, Refusal | None]:
        case = _make_case(way.kind, way.reactions(), is_convicted=True)
        refusal = await way.serve(case)
        return len(case.client.arrived), refusal

    arrived, refusal = run_virtually(scenario())
    assert arrived == len(way.reactions())
    assert refusal is not None
    has_run = path in (SendPath.REPEATED, SendPath.RESUMED)
    assert refusal.kind is (RefusalKind.UPSTREAM_FAILED if has_run else RefusalKind.QUARANTINED)


def test_request_is_not_hedged_when_a_part_of_it_is_convicted() -> None:
    way = WAYS[SendPath.HEDGED]

    async def scenario() -> int:
        case = _make_case(way.kind, way.reactions(), is_convicted=True)
        serving = asyncio.ensure_future(way.serve(case))
        await asyncio.wait([serving], timeout=HEDGE_WAIT_S)
        serving.cancel()
        return len(case.client.arrived)

    assert run_virtually(scenario()) == 1


@pytest.mark.parametrize("path", list(SendPath))
def test_sender_raises_when_a_part_of_the_request_is_convicted(path: SendPath) -> None:
    async def scenario() -> int:
        case = _make_case(RouteKind.IDEMPOTENT, [], is_convicted=True)
        entry = case.fakes.upstreams.get(UpstreamId("x"))
        assert entry is not None
        upstream_request = UpstreamRequest(
            request=case.routed.request, upstream=entry, account=None, time_left_ms=None
        )
        with pytest.raises(QuarantinedError):
            await send_request(
                case.routed,
                case.context,
                upstream_request,
                path=path,
                chosen_at=case.context.clock.now(),
            )
        return len(case.client.arrived)

    assert run_virtually(scenario()) == 0


# A request was chosen in time and sent after its host had learned that the upstream leaves.
@pytest.mark.parametrize("path", list(SendPath))
def test_nothing_is_sent_by_the_path_to_an_upstream_that_leaves_after_it_was_chosen(
    path: SendPath, monkeypatch: pytest.MonkeyPatch
) -> None:
    way = WAYS[path]
    left: list[UpstreamId] = []

    async def scenario() -> tuple[list[str], bool]:
        case = _make_case(way.kind, way.reactions(), is_convicted=False)

        async def send_after_notice(*args: Any, **options: Any) -> Any:
            upstream = args[2].upstream.upstream
            if options["path"] is path and not left:
                left.append(upstream)
                case.fakes.upstreams.leaving.add(upstream)
                case.fakes.upstreams.leaving_ms[upstream] = LONG_AFTER_NOTICE_MS
            return await send_request(*args, **options)

        for module in (_plain, _segments):
            monkeypatch.setattr(module, "send_request", send_after_notice)
        serving = asyncio.ensure_future(way.serve(case))
        await asyncio.wait([serving], timeout=HEDGE_WAIT_S)
        is_served = serving.done() and serving.result() is None
        serving.cancel()
        return [one.upstream.upstream for one in case.client.arrived], is_served

    arrived, is_served = run_virtually(scenario())
    assert left
    assert left[0] not in arrived[len(way.reactions()) :]
    # On the other paths the other upstream has been tried before.
    assert is_served == (path in SERVED_BY_THE_OTHER)


# A run whose only copy is at an engine that has just begun to leave would be lost.
def test_run_goes_on_at_a_leaving_engine_shortly_after_its_notice() -> None:
    async def scenario() -> int:
        case = _make_case(RouteKind.STREAMING, [], is_convicted=False)
        entry = case.fakes.upstreams.get(UpstreamId("x"))
        assert entry is not None
        case.fakes.upstreams.leaving.add("x")
        upstream_request = UpstreamRequest(
            request=case.routed.request, upstream=entry, account=None, time_left_ms=None
        )
        for leaving_ms in (0, RESUME_AT_LEAVING_MS - 1, RESUME_AT_LEAVING_MS):
            case.fakes.upstreams.leaving_ms["x"] = leaving_ms
            with contextlib.suppress(UpstreamLeavingError):
                await send_request(
                    case.routed,
                    case.context,
                    upstream_request,
                    path=SendPath.RESUMED,
                    chosen_at=case.context.clock.now(),
                )
        return len(case.client.arrived)

    assert run_virtually(scenario()) == 2


class _CountingDelegates(NoDelegates):
    """Other hosts that can't be reached, one of which is asked before the part is convicted."""

    def __init__(self, convict: Callable[[], None]) -> None:
        self.asked = 0
        self._convict = convict

    async def send(
        self, *, address: str, request: CallerRequest, time_left_ms: int
    ) -> DelegatedResponse:
        """Count a request, and fail to connect."""
        self.asked += 1
        self._convict()
        return await super().send(address=address, request=request, time_left_ms=time_left_ms)


# A host without a path went on to ask others to send what crashes upstreams.
def test_request_is_not_delegated_again_when_a_part_of_it_is_convicted() -> None:
    async def scenario() -> tuple[int, RefusalKind | None]:
        case = _make_case(RouteKind.NON_IDEMPOTENT, [LOST], is_convicted=True)
        client = _CountingDelegates(case.client.convict)
        delegates = [Delegate(host=f"h{n}", address=f"h{n}:1", failure_domain="a") for n in (1, 2)]
        refusal = await DelegatedForwarder(
            routed=case.routed,
            context=case.context,
            client=client,
            selector=make_delegate_selector(case.context, *delegates),
        ).serve(FakeResponder())
        return client.asked, None if refusal is None else refusal.kind

    assert run_virtually(scenario()) == (1, RefusalKind.QUARANTINED)


def _find_sends(module: Path) -> Iterator[str]:
    """Return the calls by which a module sends a request to an upstream itself."""
    for node in ast.walk(ast.parse(module.read_text())):
        if isinstance(node, ast.Call) and any(
            keyword.arg == "upstream_request" for keyword in node.keywords
        ):
            yield ast.unparse(node.func)


# A way to an upstream that doesn't go through the sender asks for no verdict.
def test_requests_are_sent_to_upstreams_at_one_place_only() -> None:
    senders = {
        module.relative_to(SOURCE).as_posix(): list(_find_sends(module))
        for module in SOURCE.rglob("*.py")
    }
    assert {name: calls for name, calls in senders.items() if calls} == {
        "forwarding/_sending.py": ["context.upstream_client.send"],
        "gateway/_observed_upstreams.py": ["self._client.send"],
    }
