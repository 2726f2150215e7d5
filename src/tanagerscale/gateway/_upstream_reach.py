"""What follows for a host from whether it reaches any upstream."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from random import Random
from typing import final

from tanagerscale.coordination import DelegateList
from tanagerscale.coordination import Directory
from tanagerscale.coordination import UpstreamHealth
from tanagerscale.core import Clock
from tanagerscale.forwarding import CrashReports
from tanagerscale.gateway._platform import PlatformUpstreamClient
from tanagerscale.generated.messages import Delegate
from tanagerscale.membership import Mesh
from tanagerscale.membership import UpstreamGate
from tanagerscale.quarantine import SuspectTracker
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamPaths


@final
class UpstreamReach:
    """Tells the other hosts and the state of upstreams when this host reaches none.

    :param own: This host as a delegate of others.
    :param paths: Whether this host reaches any upstream.
    :param known: Returns the upstreams that are expected to answer.
    :param client: Client of the upstreams.
    :param gate: Availability of upstreams.
    :param health: Health of upstreams.
    :param directory: The coordinators.
    :param mesh: Connections to the other hosts.
    :param is_leaving: Returns whether the host is shutting down gracefully.
    :param suspects: Requests that may crash upstreams.
    :param clock: Source of the current time.
    :param rng: Random number generator that spreads delegated requests and probes.
    """

    def __init__(
        self,
        *,
        own: Delegate,
        paths: UpstreamPaths,
        known: Callable[[], Sequence[UpstreamEntry]],
        client: PlatformUpstreamClient,
        gate: UpstreamGate,
        health: UpstreamHealth,
        directory: Directory,
        mesh: Mesh,
        is_leaving: Callable[[], bool],
        suspects: SuspectTracker,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._paths = paths
        self._known = known
        self._client = client
        self._gate = gate
        self._health = health
        self._directory = directory
        self._mesh = mesh
        self._is_leaving = is_leaving
        self.delegates = DelegateList(
            own=own, can_help=lambda: self.can_help, peers=lambda: mesh.live.value, rng=rng
        )

        self.crash_reports = CrashReports(
            suspects=suspects,
            paths=paths,
            is_leaving=gate.is_leaving,
            have_peers_path=lambda: any(not peer.cut_off for peer in mesh.live.value),
            clock=clock,
            rng=rng,
        )

    @property
    def can_help(self) -> bool:
        """Whether this host can send requests for others: it has a path, and doesn't shut down."""
        return not self._paths.is_cut_off and not self._is_leaving()

    def start(self) -> None:
        """React to the loss and the return of the paths from now on."""
        self._paths.changes.subscribe(self._on_change)

    def _on_change(self, is_cut_off: bool) -> None:
        # What failed because of the path says nothing of the upstreams.
        self._gate.forget_failures()
        self._health.forget_own_failures()
        if is_cut_off:
            for entry in self._known():
                self._client.forget(upstream=entry)
        self._directory.reevaluate()
        self._mesh.send_heartbeat()
