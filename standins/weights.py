"""Stand-in of the rate-limited store of model weights."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import final

from aiohttp import web
from msgspec import Struct

from standins._common import json_response
from standins._common import run_main
from standins._common import serve
from standins._limiter import Limiter
from tanagerscale.core import Clock

WEIGHTS_BYTES = 64


class WeightsStats(Struct, frozen=True, kw_only=True):
    """Body of ``GET /admin/stats``.

    :param served: Loads by name and version.
    :param refused: Calls over the limit.
    """

    served: dict[str, int]
    refused: int


@final
class WeightsServer:
    """The weights with their calls.

    :param per_second: Most loads a second; 0 means no limit.
    """

    def __init__(self, *, per_second: float = 0) -> None:
        self._limiter = Limiter(per_second=per_second, clock=Clock())
        self._served: Counter[str] = Counter()
        self._refused = 0

    def app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
        app.router.add_get("/weights/{name}/{version}", self._load)
        app.router.add_get("/admin/stats", self._show_stats)
        return app

    async def _load(self, request: web.Request) -> web.Response:
        if not self._limiter.take():
            self._refused += 1
            raise web.HTTPTooManyRequests(headers={"Retry-After": "1"})
        self._served[f"{request.match_info['name']}={request.match_info['version']}"] += 1
        return web.Response(body=bytes(WEIGHTS_BYTES))

    async def _show_stats(self, _request: web.Request) -> web.Response:
        return json_response(WeightsStats(served=dict(self._served), refused=self._refused))


def main(port: int = 0, per_second: float = 0) -> None:
    """Run the store of weights.

    :param port: Port on the loopback address; 0 takes a free one.
    :param per_second: Most loads a second; 0 means no limit.
    """
    asyncio.run(_serve(port=port, per_second=per_second))


async def _serve(*, port: int, per_second: float) -> None:
    await serve(app=WeightsServer(per_second=per_second).app(), port=port)


if __name__ == "__main__":
    run_main(main)
