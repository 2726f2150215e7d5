"""Publication of verdicts, and of the runs of suspects on this host, to the peers."""

from __future__ import annotations

from typing import final

from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.generated.messages import Verdict
from tanagerscale.quarantine._rules import Fingerprint
from tanagerscale.quarantine._runs import Runs


@final
class Announcements:
    """Publishes verdicts and tracks which requests the peers consider running on this host.

    :param runs: Runs known to this host.
    """

    def __init__(self, *, runs: Runs) -> None:
        self._runs = runs
        self._verdicts: Subject[Verdict] = Subject()
        self._announced_runs: set[Fingerprint] = set()

    @property
    def verdicts(self) -> Observable[Verdict]:
        """Verdicts that must be broadcast to all peers immediately."""
        return self._verdicts

    def send(self, *, verdict: Verdict) -> None:
        """Send a verdict to all peers."""
        self.record_sent(verdict=verdict)
        self._verdicts.on_next(verdict)

    def record_sent(self, *, verdict: Verdict) -> None:
        """Record a verdict that is sent to a peer without being published in ``verdicts``."""
        fingerprint = Fingerprint(verdict.fingerprint)
        if verdict.engine:
            self._announced_runs.add(fingerprint)
        else:
            self._announced_runs.discard(fingerprint)

    def announce_run_end(self, *, fingerprint: Fingerprint) -> bool:
        """Announce the end of an announced run, unless another copy still runs on this host.

        Without the announcement the peers would continue to exclude all other engines for the
        request, and its engine for other suspects.

        :returns: Whether the end was announced.
        """
        still_running = bool(self._runs.get_local_engines(fingerprint=fingerprint))
        if still_running or fingerprint not in self._announced_runs:
            return False
        # An expired verdict without an engine only removes the run from the peers' state.
        self.send(verdict=Verdict(fingerprint=fingerprint, crashes=[], expires_wall_ms=0))
        return True
