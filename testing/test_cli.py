"""Command line: exit codes, messages, waiting for hosts and resuming an answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import json
from pathlib import Path
import sys
from types import SimpleNamespace
from typing import Any

from aiohttp import web
from aiohttp.test_utils import TestServer
import pytest

from tanagerscale.accounts import generate_key
from tanagerscale.cli import ExitCode
from tanagerscale.cli import _apply as apply_module
from tanagerscale.cli import main
from tanagerscale.cli._ask import AskOptions
from tanagerscale.cli._ask import run_ask
from tanagerscale.cli._exit import CommandError
from tanagerscale.cli._output import Output
from tanagerscale.cli._progress import wait_until_in_force
from tanagerscale.cli._status import run_usage
from tanagerscale.core import Clock
from tanagerscale.generated.records import Head
from testing._fake_store import FakeStore

STORE = "--store=http://127.0.0.1:1"


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> FakeStore:
    """Fake store that the commands use."""
    fake = FakeStore()

    @asynccontextmanager
    async def open_fake_store(**_arguments: Any) -> AsyncIterator[FakeStore]:
        # Each command runs in its own event loop, and an asyncio condition is bound to one loop.
        fake.backend.changed = type(fake.backend.changed)()
        yield fake

    monkeypatch.setattr(apply_module, "open_store", open_fake_store)
    return fake


@pytest.fixture
def files(tmp_path: Path) -> Path:
    """Directory with a valid set of declarations."""
    key_hash = generate_key(account="crews").key_hash
    (tmp_path / "all.ini").write_text(
        f"[objective]\n[model plan]\nversion = 1\n[account crews]\nkey_hash = {key_hash}\n"
        "[engine e1]\naddress = 127.0.0.1:9001\nfailure_domain = a\nmodels = plan\n"
    )
    return tmp_path


def _run_main(*arguments: str) -> int:
    try:
        main(arguments)
    except SystemExit as raised:
        return int(raised.code or 0)
    return 0


def test_apply_is_refused_with_the_conflicting_diff_when_another_author_was_first(
    store: FakeStore, files: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert _run_main("apply", str(files), STORE, "--author", "ana") == ExitCode.OK
    assert "Revision 1 is accepted." in capsys.readouterr().out
    text = (files / "all.ini").read_text()
    (files / "all.ini").write_text(text.replace("version = 1", "version = 2"))
    assert _run_main("apply", str(files), STORE, "--author", "bo", "--expect", "1") == ExitCode.OK
    capsys.readouterr()
    refused = _run_main("apply", str(files), STORE, "--author=cy", "--expect=1")
    assert refused == ExitCode.REFUSED
    error = capsys.readouterr().err
    assert "revision 2 by bo: [model plan] changed: version 1 -> 2" in error
    assert "apply again" in error


def test_apply_diff_and_audit_print_json_when_json_is_set(
    store: FakeStore, files: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    _run_main("apply", str(files), STORE, "--author", "007", "--json")
    applied = json.loads(capsys.readouterr().out)
    assert (applied["revision"], len(applied["changes"])) == (1, 4)
    _run_main("diff", str(files), STORE, "--json")
    assert json.loads(capsys.readouterr().out) == {"revision": 1, "changes": []}
    _run_main("audit", STORE, "--json")
    [record] = json.loads(capsys.readouterr().out)
    assert (record["author"], record["revision"]) == ("007", 1)


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
    [
        (["aply"], ExitCode.BAD_INPUT, "Could not consume arg"),
        (["apply", "FILES", STORE, "--timout", "5"], ExitCode.BAD_INPUT, "--timout"),
        (["apply", "FILES", STORE, "--timeout", "soon"], ExitCode.BAD_INPUT, "--timeout takes"),
        (["apply", "FILES", STORE, "--hosts", "x"], ExitCode.BAD_INPUT, "--hosts takes"),
        (["apply", "FILES", "--store", "x"], ExitCode.BAD_INPUT, "--store takes"),
        (["apply", "FILES"], ExitCode.BAD_INPUT, "--store URL"),
        (["apply", STORE], ExitCode.BAD_INPUT, "Name the files"),
        (["apply", "FILES/none.ini", STORE], ExitCode.BAD_INPUT, "none.ini"),
        (["apply", "FILES", STORE, "--expect", "1.5"], ExitCode.BAD_INPUT, "--expect takes"),
        (["apply", "FILES", STORE, "--author", "\udcff"], ExitCode.BAD_INPUT, "--author"),
        (["audit", STORE, "--prefix", "two words"], ExitCode.BAD_INPUT, "--prefix"),
        (["status"], ExitCode.BAD_INPUT, "--hosts"),
        (["status", "--hosts", "127.0.0.1:1"], ExitCode.HOST_UNREACHABLE, "No host answered"),
        (["key"], ExitCode.BAD_INPUT, "ACCOUNT"),
        (["key", "two words"], ExitCode.BAD_INPUT, "ACCOUNT takes"),
        (["ask", "hi", "--hosts", "127.0.0.1:1"], ExitCode.BAD_INPUT, "--model"),
        (
            ["ask", "\udcff", "--hosts=127.0.0.1:1", "--model=m", "--key=k"],
            ExitCode.BAD_INPUT,
            "UTF-8",
        ),
        (["usage", "--json=perhaps", "--hosts=127.0.0.1:1"], ExitCode.BAD_INPUT, "--json"),
    ],
)
def test_command_fails_without_effect_when_an_argument_is_invalid(
    store: FakeStore,
    files: Path,
    capsys: pytest.CaptureFixture[str],
    arguments: list[str],
    code: int,
    message: str,
) -> None:
    arguments = [argument.replace("FILES", str(files)) for argument in arguments]
    assert _run_main(*arguments) == code
    captured = capsys.readouterr()
    assert message in captured.err
    assert "Traceback" not in captured.err + captured.out
    assert not store.backend.entries


def test_apply_reports_store_unreachable_when_the_store_is_down(
    store: FakeStore, files: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    store.down = True
    assert _run_main("apply", str(files), STORE) == ExitCode.STORE_UNREACHABLE
    assert "nothing was accepted" in capsys.readouterr().err


def test_replay_rejects_options_when_they_are_unknown_or_invalid(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    calls: list[tuple[object, ...]] = []

    def replay(trace: str, policy: str = "all", seeds: str = "1", load: float = 0.9) -> int:
        calls.append((trace, policy, seeds, load))
        return 1

    monkeypatch.setitem(sys.modules, "tanagerscale.replay", SimpleNamespace(main=replay))
    assert _run_main("replay", "t.jsonl", "--policy", "a,b", "--seed", "7", "--load", "1") == 1
    assert calls == [("t.jsonl", "a,b", "7", 1.0)]
    assert _run_main("replay", "t.jsonl", "--polcy", "a") == ExitCode.BAD_INPUT
    assert "--policy, --seeds, --load" in capsys.readouterr().err
    assert _run_main("replay", "t.jsonl", "--load", "much") == ExitCode.BAD_INPUT
    assert len(calls) == 1


async def _start_server(**handlers: Any) -> TestServer:
    app = web.Application()
    for path, handler in handlers.items():
        method = "POST" if path.startswith("completions") else "GET"
        app.router.add_route(method, f"/v1/{path.replace('__', '/')}", handler)
    server = TestServer(app)
    await server.start_server()
    return server


def _address_of(server: TestServer) -> str:
    return f"{server.host}:{server.port}"


def _make_status_handler(*, host: str, revisions: list[int], live_hosts: list[str]) -> Any:
    async def answer(_request: web.Request) -> web.Response:
        revision = revisions.pop(0) if len(revisions) > 1 else revisions[0]
        status = {
            "host": host,
            "incarnation": 1,
            "revision": revision,
            "ready": True,
            "leaving": False,
            "running": 0,
            "live_hosts": live_hosts,
        }
        return web.json_response(status)

    return answer


HEAD = Head(revision=2, digest="d", chunks=["c"], author="a", apply_id="i", applied_wall_ms=0)


async def _wait_until_in_force(*servers: TestServer, timeout_ms: int) -> list[str]:
    return await wait_until_in_force(
        head=HEAD,
        hosts=tuple(_address_of(server) for server in servers),
        timeout_ms=timeout_ms,
        clock=Clock(),
        output=Output(as_json=True),
    )


async def test_wait_returns_when_the_last_host_has_the_revision() -> None:
    first = await _start_server(
        status=_make_status_handler(host="h1", revisions=[2], live_hosts=["h1", "h2"])
    )
    second = await _start_server(
        status=_make_status_handler(host="h2", revisions=[1, 1, 2], live_hosts=["h2"])
    )
    assert await _wait_until_in_force(first, second, timeout_ms=60_000) == ["h1", "h2"]
    await first.close()
    await second.close()


async def test_wait_names_the_host_when_it_is_behind_or_was_not_asked() -> None:
    behind = await _start_server(
        status=_make_status_handler(host="h1", revisions=[1], live_hosts=["h1"])
    )
    with pytest.raises(CommandError) as timed_out:
        await _wait_until_in_force(behind, timeout_ms=0)
    assert timed_out.value.code is ExitCode.NOT_IN_FORCE
    assert "host h1 has revision 1" in timed_out.value.details[0]
    single = await _start_server(
        status=_make_status_handler(host="h1", revisions=[2], live_hosts=["h1", "h2"])
    )
    with pytest.raises(CommandError) as incomplete:
        await _wait_until_in_force(single, timeout_ms=0)
    assert incomplete.value.details == ("host h2 was not asked",)
    await behind.close()
    await single.close()


def _encode_events(*parts: tuple[str, str], end: bool) -> bytes:
    chunks = [
        f'id: {cursor}\ndata: {{"choices":[{{"text":"{text}","finish_reason":null}}]}}\n\n'
        for cursor, text in parts
    ]
    return ("".join(chunks) + ("data: [DONE]\n\n" if end else "")).encode()


def _make_options(*servers: TestServer) -> AskOptions:
    return AskOptions(
        prompt="p",
        hosts=tuple(_address_of(server) for server in servers),
        model="plan",
        adapter="",
        key="crews.k",
        key_file="",
        max_tokens=0,
    )


async def test_answer_is_complete_when_its_host_fails_during_the_stream(
    capsys: pytest.CaptureFixture[str],
) -> None:
    sent_headers: list[str] = []
    bodies: list[bytes] = []

    async def start(request: web.Request) -> web.StreamResponse:
        sent_headers.append(request.headers["Authorization"])
        bodies.append(await request.read())
        reply = web.StreamResponse(headers={"X-Request-Id": "r1"})
        await reply.prepare(request)
        await reply.write(_encode_events(("c1", "one "), ("c2", "two "), end=False))
        # The third event is truncated, so it must be treated as not received.
        await reply.write(_encode_events(("c3", "lost"), end=False)[:-9])
        assert request.transport is not None
        request.transport.close()
        return reply

    async def resume(request: web.Request) -> web.Response:
        sent_headers.append(request.headers["Last-Event-ID"])
        bodies.append(await request.read())
        return web.Response(body=_encode_events(("c3", "three"), end=True))

    first = await _start_server(completions=start)
    second = await _start_server(completions__r1__events=resume)
    await run_ask(options=_make_options(first, second), output=Output(as_json=False))
    assert sent_headers == ["Bearer crews.k", "c2"]
    assert bodies[0] == bodies[1]
    assert capsys.readouterr().out == "one two three\n"
    await first.close()
    await second.close()


async def test_ask_does_not_retry_when_the_answer_is_a_final_problem() -> None:
    problem = {
        "type": "t",
        "title": "Generation lost",
        "status": 502,
        "detail": "Send it again.",
        "execution": "unknown",
    }

    async def refuse(_request: web.Request) -> web.Response:
        return web.json_response(problem, status=502)

    server = await _start_server(completions=refuse)
    with pytest.raises(CommandError) as raised:
        await run_ask(options=_make_options(server), output=Output(as_json=True))
    assert raised.value.code is ExitCode.REFUSED
    assert "Send it again." in raised.value.message
    assert "unknown" in raised.value.message
    await server.close()


async def test_usage_is_summed_when_several_hosts_report_it(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def usage(_request: web.Request) -> web.Response:
        return web.json_response({"accounts": {"crews": {"tokens": 5, "engine_ms": 1.5}}})

    servers = [await _start_server(usage=usage) for _ in range(2)]
    hosts = tuple(_address_of(server) for server in servers)
    await run_usage(hosts=hosts, output=Output(as_json=True))
    document = json.loads(capsys.readouterr().out)
    assert document["accounts"] == {"crews": {"tokens": 10.0, "engine_ms": 3.0}}
    for server in servers:
        await server.close()
