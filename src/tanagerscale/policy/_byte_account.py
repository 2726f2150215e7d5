"""Account of the bytes that a host holds for others, and which exchange fails if they are too many.

Load: upstreams whose responses have no end, on every request of 10 or of 300 callers, on a host of
150 MB.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

MAX_SAFE_BYTES: Final = 64 * 1024
"""Size up to which a holding never fails: what a connection has received that is not read yet."""


def _ignore() -> None:
    """Do nothing."""


@final
class Holding:
    """Bytes that one exchange holds.

    :param account: Account of the host.
    :param peer: Address of the process that sends them.
    :param on_failure: Called when the exchange must give up its bytes; ends the exchange.
    """

    def __init__(
        self, *, account: ByteAccount, peer: str = "", on_failure: Callable[[], None] = _ignore
    ) -> None:
        self._account = account
        self._on_failure = on_failure
        self.peer: Final = peer
        self.has_known_length = False
        """Whether the peer has announced how many bytes it sends."""
        self.size = 0
        """Bytes that are counted."""
        self.has_failed = False
        """Whether the exchange had to give up its bytes."""

    def add(self, size: int) -> None:
        """Count more bytes, which may make a holding fail.

        :param size: Number of bytes; ignored after a failure.
        """
        self.resize(self.size + size)

    def resize(self, size: int) -> None:
        """Count another number of bytes, which may make a holding fail.

        :param size: Number of all bytes that are held now; ignored after a failure.
        """
        if not self.has_failed:
            self._account.update(self, size)

    def fail(self) -> None:
        """Give up the bytes."""
        self.resize(0)
        self.has_failed = True
        self._on_failure()


@final
class ByteAccount:
    """Counts what exchanges hold. Above a limit some of them fail, until the rest fits.

    Those of unknown length fail first; among these, the largest one of the peer that has the most,
    so that a faulty peer does not take the answers of the others with it.

    :param exchange_limit: Bytes that all holdings may have together; ``None`` for no limit.
    :param total_limit: Bytes that they may have together with what is counted elsewhere; ``None``
        for no limit.
    :param min_limit: Bytes that they may have whatever is counted elsewhere.
    """

    def __init__(
        self,
        *,
        exchange_limit: int | None = None,
        total_limit: int | None = None,
        min_limit: int = 0,
    ) -> None:
        self._exchange_limit = exchange_limit
        self._total_limit = total_limit
        self._min_limit = min_limit
        self._large: set[Holding] = set()
        """Holdings that may fail."""
        self.held = 0
        """Bytes of all holdings."""
        self._other = 0
        self.on_failure: Callable[[], None] = _ignore
        """Called for each holding that fails."""

    def open(self, *, peer: str = "", on_failure: Callable[[], None] = _ignore) -> Holding:
        """Return a new, empty holding.

        :param peer: Address of the process that sends the bytes.
        :param on_failure: Called when the exchange must give up its bytes; ends the exchange.
        """
        return Holding(account=self, peer=peer, on_failure=on_failure)

    def count_other(self, size: int) -> None:
        """Set what the host holds besides, and let holdings fail if it is too much.

        :param size: Number of bytes.
        """
        self._other = size
        self.free(self._get_excess())

    def update(self, holding: Holding, size: int) -> None:
        """Set the size of a holding, and let some fail if there are too many bytes.

        :param holding: The holding, which has not failed.
        :param size: Its new size in bytes.
        """
        self.held += size - holding.size
        holding.size = size
        if size <= MAX_SAFE_BYTES:
            self._large.discard(holding)
            return
        self._large.add(holding)
        self.free(self._get_excess())

    def free(self, size: int) -> None:
        """Let holdings fail until enough is free, or what is left is small or always allowed.

        :param size: Number of bytes.
        """
        kept = max(self.held - size, self._min_limit)
        while self.held > kept and self._large:
            self.on_failure()
            self._choose().fail()

    def _choose(self) -> Holding:
        """Return the holding that fails next."""
        sizes: dict[str, int] = {}
        for one in self._large:
            sizes[one.peer] = sizes.get(one.peer, 0) + one.size
        return max(
            self._large, key=lambda one: (not one.has_known_length, sizes[one.peer], one.size)
        )

    def _get_excess(self) -> int:
        limits = []
        if self._exchange_limit is not None:
            limits.append(self._exchange_limit)
        if self._total_limit is not None:
            limits.append(max(self._total_limit - self._other, self._min_limit))
        return self.held - min(limits, default=self.held)
