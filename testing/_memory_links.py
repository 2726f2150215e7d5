"""In-memory links between hosts in one process, for tests in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import final

from tanagerscale.membership import CloseReason
from tanagerscale.membership import Link
from tanagerscale.membership import LinkClosedError
from tanagerscale.membership._link import LinkHandler

LATENCY_S = 0.002


@final
class MemoryLink:
    """One end of an in-memory link."""

    def __init__(self, *, network: MemoryNetwork, owner: str, peer: str) -> None:
        self.other: MemoryLink = self
        self.owner = owner
        self.peer = peer
        self._network = network
        self._latency_s = LATENCY_S * network.rng.uniform(0.5, 2)
        self._incoming: asyncio.Queue[bytes | CloseReason] = asyncio.Queue()
        self._closed: CloseReason | None = None

    async def send(self, frame: bytes) -> None:
        """Deliver a frame after the latency of the link; a frozen link holds it back."""
        if self._closed is not None:
            raise LinkClosedError(self._closed)
        self._deliver_later(frame)

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
        """Close the link; the other end of a frozen link is notified when it resumes."""
        if self._closed is None:
            self._closed = reason
            self._deliver_later(reason)

    def _deliver_later(self, item: bytes | CloseReason) -> None:
        if self._network.is_frozen(self.owner, self.peer):
            self._network.held.append((self, item))
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._latency_s, self.other.put, item)

    def put(self, item: bytes | CloseReason) -> None:
        """Receive a frame or close reason from the other end."""
        self._incoming.put_nowait(item)


@dataclass
class MemoryNetwork:
    """The listening addresses and the frozen pairs of them."""

    rng: Random = field(default_factory=lambda: Random(1))
    """Random number generator used to choose the latency of each link in each direction."""
    accepting: dict[str, LinkHandler] = field(default_factory=dict)
    frozen: set[frozenset[str]] = field(default_factory=set)
    held: list[tuple[MemoryLink, bytes | CloseReason]] = field(default_factory=list)
    links: int = 0
    """Number of links created so far."""
    tasks: set[asyncio.Future[None]] = field(default_factory=set)

    def is_frozen(self, one: str, other: str) -> bool:
        """Return whether frames between two addresses are held back."""
        return frozenset((one, other)) in self.frozen

    def resume(self) -> None:
        """Deliver all held frames at once and end the freeze."""
        self.frozen.clear()
        held, self.held = self.held, []
        for link, item in held:
            link.other.put(item)


@final
class MemoryTransport:
    """Transport of one host on an in-memory network."""

    def __init__(self, *, network: MemoryNetwork, address: str, advertised: str = "") -> None:
        self._network = network
        self._address = address
        self._advertised = advertised or address

    async def listen(self, *, address: str, accept: LinkHandler) -> str:
        """Accept links at this host's address."""
        self._network.accepting[self._address] = accept
        return self._advertised

    async def connect(self, *, address: str) -> Link:
        """Open a link; fails if the pair of addresses is frozen."""
        await asyncio.sleep(LATENCY_S)
        accept = self._network.accepting.get(address)
        if accept is None or self._network.is_frozen(self._address, address):
            raise LinkClosedError(CloseReason.BROKEN)
        local_end = MemoryLink(network=self._network, owner=self._address, peer=address)
        remote_end = MemoryLink(network=self._network, owner=address, peer=self._address)
        local_end.other, remote_end.other = remote_end, local_end
        self._network.links += 1
        task = asyncio.ensure_future(accept(remote_end))
        self._network.tasks.add(task)
        task.add_done_callback(self._network.tasks.discard)
        return local_end

    async def stop(self) -> None:
        """Stop accepting links."""
        self._network.accepting.pop(self._address, None)
