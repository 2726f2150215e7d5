"""An engine in a process of its own, which begins a stream and is killed within it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import os
import sys
from typing import final

from testing._closing_engine import ClosingEngines
from testing._closing_engine import Script
from testing._closing_engine import StreamFraming
from testing._scripted_peer import run_scripted_peer


@final
class EngineProcess:
    """A running engine.

    :param process: Its process.
    :param address: Its address.
    """

    def __init__(self, process: asyncio.subprocess.Process, address: str) -> None:
        self._process = process
        self.address = address

    async def kill(self) -> None:
        """End it at once, unless it has ended."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()


@asynccontextmanager
async def run_engine_process(id: str, framing: StreamFraming) -> AsyncIterator[EngineProcess]:
    """Run an engine that never ends the first stream of a run by itself.

    :param id: Id of the run.
    :param framing: How it frames its streams.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        __name__,
        id,
        framing.value,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert process.stdout is not None
    engine = EngineProcess(process, (await process.stdout.readline()).decode().strip())
    try:
        yield engine
    finally:
        await engine.kill()


async def _serve(id: str, framing: str) -> None:
    engines = ClosingEngines({id: Script(framing=StreamFraming(framing))})
    async with run_scripted_peer(engines.answer) as peer:
        print(peer.address, flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_serve(*sys.argv[1:]))
