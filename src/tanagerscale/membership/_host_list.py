"""Client for the platform's list of hosts and upstreams, which lags behind the actual state."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import final

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from reactivex import Observable
from reactivex.subject import BehaviorSubject
from returns.result import Failure
from returns.result import Result

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import decode_json
from tanagerscale.core import get_logger
from tanagerscale.core import run_contained
from tanagerscale.generated.upstream import HostList
from tanagerscale.generated.upstream import ListedEntry
from tanagerscale.generated.upstream import ListedKind
from tanagerscale.membership._peers import PeerAddress

_HTTP_OK = 200
_READ_TIMEOUT_MS = 2000
_MAX_LIST_BYTES = 8 * 1024 * 1024

log = get_logger(part="host-list")


@final
class HostListFollower:
    """Polls the host list; during outages it keeps the last list that it read.

    :param url: URL of the list; the empty string means that there is none.
    :param interval_ms: Polling interval, in milliseconds.
    :param clock: Source of the current time.
    """

    def __init__(self, *, url: str, interval_ms: int, clock: Clock) -> None:
        self._url = url
        self._interval_ms = interval_ms
        self._clock = clock
        self._entries: BehaviorSubject[tuple[ListedEntry, ...]] = BehaviorSubject(())
        self._task: asyncio.Task[None] | None = None
        self._is_failing = False
        self._has_read = not url

    @property
    def has_read(self) -> bool:
        """Whether the list has been read at least once, or there is none."""
        return self._has_read

    @property
    def entries(self) -> Observable[tuple[ListedEntry, ...]]:
        """Emits the list each time it changes."""
        return self._entries

    def start(self) -> None:
        """Start to poll the list."""
        if self._url:
            self._task = asyncio.create_task(self._poll_forever())

    async def stop(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _poll_forever(self) -> None:
        timeout = ClientTimeout(total=_READ_TIMEOUT_MS / MS_PER_SECOND)
        async with ClientSession(timeout=timeout) as session:
            while True:
                result = await self._read(session)
                run_contained("host-list", partial(self._handle_result, result))
                await self._clock.sleep(self._interval_ms)

    async def _read(self, session: ClientSession) -> Result[HostList, str]:
        try:
            async with session.get(self._url) as response:
                if response.status != _HTTP_OK:
                    return Failure(f"The list was answered with status {response.status}.")
                body = await response.content.read(_MAX_LIST_BYTES)
                return decode_json(body, HostList, max_bytes=_MAX_LIST_BYTES)
        except (ClientError, OSError, TimeoutError) as error:
            return Failure(f"{type(error).__name__}: {error}")

    def _handle_result(self, result: Result[HostList, str]) -> None:
        if isinstance(result, Failure):
            if not self._is_failing:
                log.warning(
                    "Cannot read the host list; keeping the last one.", cause=result.failure()
                )
            self._is_failing = True
            return
        self._is_failing = False
        self._has_read = True
        entries = tuple(result.unwrap().entries)
        if entries != self._entries.value:
            self._entries.on_next(entries)


def peer_addresses(
    *, entries: tuple[ListedEntry, ...], seeds: tuple[str, ...]
) -> tuple[PeerAddress, ...]:
    """Return the addresses of possible peers: the listed hosts, and seeds that are not listed.

    :param entries: The host list.
    :param seeds: Addresses from the settings.
    """
    listed = {
        entry.address: PeerAddress(address=entry.address, host=HostId(entry.id))
        for entry in entries
        if entry.kind is ListedKind.HOST
    }
    seed_addresses = {seed: PeerAddress(address=seed) for seed in seeds}
    return tuple((seed_addresses | listed).values())
