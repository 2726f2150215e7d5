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
from standins._limiter import TokenBucket
from tanagerscale.core import Clock

WEIGHTS_BYTES = 64


class WeightsStats(Struct, frozen=True, kw_only=True):
    """Body of ``GET /admin/stats``.

    :param served: Number of loads served, by name and version.
    :param refused: Number of loads refused by the rate limit.
    """

    served: dict[str, int]
    refused: int


@final
class WeightsServer:
    """HTTP server of the weights store.

    :param per_second: Maximum number of loads per second; 0 means no limit.
    """

    def __init__(self, *, per_second: float = 0) -> None:
        self._limiter = TokenBucket(per_second=per_second, clock=Clock())
        self._served: Counter[str] = Counter()
        self._refused = 0

    def app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application()
        app.router.add_get("/weights/{name}/{version}", self._get_weights)
        app.router.add_get("/admin/stats", self._get_stats)
        return app

    async def _get_weights(self, request: web.Request) -> web.Response:
        if not self._limiter.try_acquire():
            self._refused += 1
            raise web.HTTPTooManyRequests(headers={"Retry-After": "1"})
        self._served[f"{request.match_info['name']}={request.match_info['version']}"] += 1
        return web.Response(body=bytes(WEIGHTS_BYTES))

    async def _get_stats(self, _request: web.Request) -> web.Response:
        return json_response(WeightsStats(served=dict(self._served), refused=self._refused))


def main(port: int = 0, per_second: float = 0) -> None:
    """Run the weights store.

    :param port: Port on the loopback address; 0 selects a free one.
    :param per_second: Maximum number of loads per second; 0 means no limit.
    """
    asyncio.run(_serve(port=port, per_second=per_second))


async def _serve(*, port: int, per_second: float) -> None:
    await serve(app=WeightsServer(per_second=per_second).app(), port=port)


if __name__ == "__main__":
    run_main(main)
