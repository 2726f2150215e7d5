"""The platform's lagging list of hosts and upstreams."""

from __future__ import annotations

import asyncio
from typing import final

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
import msgspec
from reactivex import Observable
from reactivex.subject import BehaviorSubject
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import get_logger
from tanagerscale.generated.upstream import HostList
from tanagerscale.generated.upstream import ListedEntry
from tanagerscale.generated.upstream import ListedKind
from tanagerscale.membership._peers import PeerAddress

_READ_TIMEOUT_MS = 2000
_MAX_LIST_BYTES = 8 * 1024 * 1024

log = get_logger(part="host-list")


@final
class HostListFollower:
    """Reads the list again and again; during its outages the last one read stays.

    :param url: Where the list is; the empty string means that there is none.
    :param interval_ms: Time between two reads, in milliseconds.
    :param clock: Time.
    """

    def __init__(self, *, url: str, interval_ms: int, clock: Clock) -> None:
        self._url = url
        self._interval_ms = interval_ms
        self._clock = clock
        self._entries: BehaviorSubject[tuple[ListedEntry, ...]] = BehaviorSubject(())
        self._task: asyncio.Task[None] | None = None
        self._failing = False
        self._has_read = not url

    @property
    def has_read(self) -> bool:
        """Whether the list has been read once, or there is none."""
        return self._has_read

    @property
    def entries(self) -> Observable[tuple[ListedEntry, ...]]:
        """The list, whenever it has changed."""
        return self._entries

    def start(self) -> None:
        """Begin to read."""
        if self._url:
            self._task = asyncio.create_task(self._follow())

    async def stop(self) -> None:
        """Read no more."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _follow(self) -> None:
        timeout = ClientTimeout(total=_READ_TIMEOUT_MS / MS_PER_SECOND)
        async with ClientSession(timeout=timeout) as session:
            while True:
                self._publish(await self._read(session))
                await self._clock.sleep(self._interval_ms)

    async def _read(self, session: ClientSession) -> Result[HostList, str]:
        try:
            async with session.get(self._url) as response:
                response.raise_for_status()
                body = await response.content.read(_MAX_LIST_BYTES)
                return Success(msgspec.json.decode(body, type=HostList))
        except (ClientError, OSError, TimeoutError, msgspec.MsgspecError) as error:
            return Failure(f"{type(error).__name__}: {error}")

    def _publish(self, read: Result[HostList, str]) -> None:
        if isinstance(read, Failure):
            if not self._failing:
                log.warning("Host list unreadable; the last one stays.", cause=read.failure())
            self._failing = True
            return
        self._failing = False
        self._has_read = True
        entries = tuple(read.unwrap().entries)
        if entries != self._entries.value:
            self._entries.on_next(entries)


def peer_addresses(
    *, entries: tuple[ListedEntry, ...], seeds: tuple[str, ...]
) -> tuple[PeerAddress, ...]:
    """Return where peers may be: the listed hosts, and the seeds the list does not name.

    :param entries: The host list.
    :param seeds: Addresses of the settings.
    """
    listed = {
        entry.address: PeerAddress(address=entry.address, host=HostId(entry.id))
        for entry in entries
        if entry.kind is ListedKind.HOST
    }
    unnamed = {seed: PeerAddress(address=seed) for seed in seeds}
    return tuple((unnamed | listed).values())
