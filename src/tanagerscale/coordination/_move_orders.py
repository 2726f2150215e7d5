"""What a decider keeps of the orders that it has sent to move runs."""

from __future__ import annotations

from msgspec import Struct

from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.policy import Move


class PendingOrder(Struct, kw_only=True):
    """An order that its host is executing.

    :param host: Host that owns the run.
    :param service: Service of the run.
    :param move: The ordered move.
    :param expires_at: When the order counts as ended.
    """

    host: HostId
    service: ServiceId
    move: Move
    expires_at: Millis

    @property
    def engines(self) -> set[UpstreamId]:
        """The engines whose links the order uses."""
        return {self.move.run.engine, self.move.target}


class MoveAttempts(Struct, kw_only=True):
    """Results of the orders for one run.

    :param engine: Engine of the run at that time.
    :param failed_targets: Engines that did not accept the run.
    :param has_copy_failed: Whether its last copy failed.
    :param retry_at: When the next order may be sent.
    """

    engine: UpstreamId
    failed_targets: set[UpstreamId]
    has_copy_failed: bool = False
    retry_at: Millis = Millis(0)
