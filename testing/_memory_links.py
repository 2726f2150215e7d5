"""Links between hosts inside one process, for virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import final

from tanagerscale.membership import CloseReason
from tanagerscale.membership import Link
from tanagerscale.membership import LinkClosedError
from tanagerscale.membership._link import Accept

LATENCY_S = 0.002


@final
class MemoryLink:
    """One end of a link."""

    def __init__(self, *, network: MemoryNetwork, owner: str, peer: str) -> None:
        self.other: MemoryLink = self
        self.owner = owner
        self.peer = peer
        self._network = network
        self._latency_s = LATENCY_S * network.rng.uniform(0.5, 2)
        self._incoming: asyncio.Queue[bytes | CloseReason] = asyncio.Queue()
        self._closed: CloseReason | None = None

    async def send(self, frame: bytes) -> None:
        """Deliver a frame a little later; on a frozen link it waits for the thaw."""
        if self._closed is not None:
            raise LinkClosedError(self._closed)
        self._carry(frame)

    async def receive(self) -> bytes:
        """Wait for the next frame."""
        if self._closed is not None:
            raise LinkClosedError(self._closed)
        item = await self._incoming.get()
        if isinstance(item, CloseReason):
            self._closed = item
            raise LinkClosedError(item)
        return item

    async def close(self, *, reason: CloseReason) -> None:
        """End the link for both sides, unless it is frozen."""
        if self._closed is None:
            self._closed = reason
            self._carry(reason)

    def _carry(self, item: bytes | CloseReason) -> None:
        if self._network.is_frozen(self.owner, self.peer):
            self._network.held.append((self, item))
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._latency_s, self.other.put, item)

    def put(self, item: bytes | CloseReason) -> None:
        """Take in what the other end sent."""
        self._incoming.put_nowait(item)


@dataclass
class MemoryNetwork:
    """All addresses, and which pairs of them are frozen."""

    rng: Random = field(default_factory=lambda: Random(1))
    """Chooses each link's latency, in either direction."""
    accepting: dict[str, Accept] = field(default_factory=dict)
    frozen: set[frozenset[str]] = field(default_factory=set)
    held: list[tuple[MemoryLink, bytes | CloseReason]] = field(default_factory=list)
    links: int = 0
    """Links made so far."""
    tasks: set[asyncio.Future[None]] = field(default_factory=set)

    def is_frozen(self, one: str, other: str) -> bool:
        """Return whether frames between two addresses are held."""
        return frozenset((one, other)) in self.frozen

    def thaw(self) -> None:
        """Let all frames that were held arrive at once."""
        self.frozen.clear()
        held, self.held = self.held, []
        for link, item in held:
            link.other.put(item)


@final
class MemoryTransport:
    """One host's access to a network in memory."""

    def __init__(self, *, network: MemoryNetwork, address: str, told: str = "") -> None:
        self._network = network
        self._address = address
        self._told = told or address

    async def listen(self, *, address: str, accept: Accept) -> str:
        """Accept links at this host's address."""
        self._network.accepting[self._address] = accept
        return self._told

    async def connect(self, *, address: str) -> Link:
        """Make a link; a frozen one never comes about."""
        await asyncio.sleep(LATENCY_S)
        accept = self._network.accepting.get(address)
        if accept is None or self._network.is_frozen(self._address, address):
            raise LinkClosedError(CloseReason.BROKEN)
        near = MemoryLink(network=self._network, owner=self._address, peer=address)
        far = MemoryLink(network=self._network, owner=address, peer=self._address)
        near.other, far.other = far, near
        self._network.links += 1
        task = asyncio.ensure_future(accept(far))
        self._network.tasks.add(task)
        task.add_done_callback(self._network.tasks.discard)
        return near

    async def stop(self) -> None:
        """Accept no more."""
        self._network.accepting.pop(self._address, None)
