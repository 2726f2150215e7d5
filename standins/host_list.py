"""Stand-in of the platform's delayed list of live and leaving hosts and upstreams."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import final

from aiohttp import web
from msgspec import Struct
from msgspec.structs import replace

from standins._common import json_response
from standins._common import read_json
from standins._common import run_main
from standins._common import serve
from tanagerscale.core import Clock
from tanagerscale.generated.upstream import HostList
from tanagerscale.generated.upstream import ListedState

MAX_VERSIONS = 1_000


class StateChange(Struct, frozen=True, kw_only=True):
    """Body of ``POST /admin/state``.

    :param id: Id of the entry to change.
    :param state: Its new state.
    """

    id: str
    state: ListedState


class ListOptions(Struct, frozen=True, kw_only=True):
    """Body of ``POST /admin/options``.

    :param lag_ms: Delay before the list shows a change, in milliseconds.
    :param fail: Whether every read fails with status 503.
    """

    lag_ms: int = 0
    fail: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class _Version:
    published_at_ms: int
    entries: HostList


@final
class HostListServer:
    """HTTP server of the host list.

    :param lag_ms: Delay before the list shows a change, in milliseconds.
    """

    def __init__(self, *, lag_ms: int = 0) -> None:
        self._clock = Clock()
        self._options = ListOptions(lag_ms=lag_ms)
        first = _Version(published_at_ms=0, entries=HostList(entries=[]))
        self._versions: deque[_Version] = deque([first], maxlen=MAX_VERSIONS)

    def app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/hosts", self._get_hosts),
                web.post("/admin/entries", self._set_entries),
                web.post("/admin/state", self._set_state),
                web.post("/admin/options", self._set_options),
            ]
        )
        return app

    async def _get_hosts(self, _request: web.Request) -> web.Response:
        if self._options.fail:
            raise web.HTTPServiceUnavailable
        cutoff_ms = self._clock.now() - self._options.lag_ms
        visible = [version for version in self._versions if version.published_at_ms <= cutoff_ms]
        selected = visible[-1] if visible else self._versions[0]
        return json_response(selected.entries)

    async def _set_entries(self, request: web.Request) -> web.Response:
        return self._publish(await read_json(request, HostList))

    async def _set_state(self, request: web.Request) -> web.Response:
        change = await read_json(request, StateChange)
        current = self._versions[-1].entries.entries
        if all(entry.id != change.id for entry in current):
            raise web.HTTPNotFound
        entries = [
            replace(entry, state=change.state) if entry.id == change.id else entry
            for entry in current
        ]
        return self._publish(HostList(entries=entries))

    async def _set_options(self, request: web.Request) -> web.Response:
        self._options = await read_json(request, ListOptions)
        return json_response(self._options)

    def _publish(self, entries: HostList) -> web.Response:
        self._versions.append(_Version(published_at_ms=self._clock.now(), entries=entries))
        return json_response(entries)


def main(port: int = 0, lag_ms: int = 0) -> None:
    """Run the host list.

    :param port: Port on the loopback address; 0 selects a free one.
    :param lag_ms: Delay before the list shows a change, in milliseconds.
    """
    asyncio.run(_serve(port=port, lag_ms=lag_ms))


async def _serve(*, port: int, lag_ms: int) -> None:
    await serve(app=HostListServer(lag_ms=lag_ms).app(), port=port)


if __name__ == "__main__":
    run_main(main)
