"""Detection of requests and parts of prompts that crash upstreams, where crashes are not reported.

It protects against a request that crashes every upstream that starts to run it and that its caller
repeats on any host, and against a part that does so in whatever request it stands. Requests and
parts are keys of one table. A crash is evidence against all keys of the runs that it broke off. A
key is cleared by any complete answer to a request that has it, and the evidence of a crash is
withdrawn when its upstream answers again. ``attribute`` decides what explains the crashes that are
left, and requests that have all keys of a conviction are refused.
"""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from itertools import chain
from itertools import islice
from itertools import takewhile
from typing import Final
from typing import final

from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import Evidence
from tanagerscale.generated.messages import Suspect
from tanagerscale.quarantine._attribution import MIN_CRASHES
from tanagerscale.quarantine._attribution import Conviction
from tanagerscale.quarantine._attribution import Crash
from tanagerscale.quarantine._attribution import Run
from tanagerscale.quarantine._attribution import attribute
from tanagerscale.quarantine._sound_keys import SoundKeys
from tanagerscale.quarantine._suspect_keys import SuspectKey

SUSPICION_TTL_MS: Final = 600_000
"""Lifetime of a suspicion after the last crash. Callers repeat such requests within seconds."""

SOUND_REFUSAL_MS: Final = 120_000
"""Time for which something is refused that was answered before. Nobody can show meanwhile that the
upstreams crashed for another reason, so it is tried again sooner."""

MAX_SUSPECTS: Final = 10_000
"""Maximum number of suspected keys; of those with the fewest crashes, the one whose last crash is
the oldest is evicted first."""

REPORT_TTL_MS: Final = 30_000
MAX_REPORTS: Final = 100
"""Time for which reports of crashes are repeated to new coordinators, and their maximum number. The
loss of a coordinator is noticed within seconds."""

_log = get_logger(part="quarantine")


@final
class SuspectTracker:
    """Holds the crashes of upstreams against requests and parts of prompts, over all hosts.

    :param clock: Clock that times the expiry of suspicions.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._crashed: OrderedDict[SuspectKey, dict[UpstreamId, Millis]] = OrderedDict()
        """Upstreams that each key may have crashed, in the order of the last crash."""
        self._single: OrderedDict[SuspectKey, None] = OrderedDict()
        """Keys with a single crash, in the order of that crash."""
        self._runs: dict[UpstreamId, set[Run]] = {}
        """Keys of the runs that each crash broke off; cleared keys may be included."""
        self._known_at: dict[UpstreamId, Millis] = {}
        """When this host learned of each crash first."""
        self._sound = SoundKeys(clock=clock)
        self._reports: deque[tuple[Millis, Suspect]] = deque(maxlen=MAX_REPORTS)
        """What this host has told the peers of crashes, and when."""
        self._refused_until: dict[Conviction, Millis] = {}
        self._suspect_updates: Subject[Suspect] = Subject()
        self._convictions: Subject[Conviction] = Subject()

    @property
    def suspect_updates(self) -> Observable[Suspect]:
        """Emits the messages to send to the peers."""
        return self._suspect_updates

    @property
    def convictions(self) -> Observable[Conviction]:
        """Emits what is refused from now on."""
        return self._convictions

    @property
    def suspect_count(self) -> int:
        """Number of suspected keys; expired ones may be included."""
        return len(self._crashed)

    @property
    def refused_count(self) -> int:
        """Number of sets of keys that are refused; expired ones may be included."""
        return len(self._refused_until)

    @property
    def crashed_upstreams(self) -> frozenset[UpstreamId]:
        """Upstreams whose crashes are evidence."""
        return frozenset(self._runs)

    def count_crashes(self, key: SuspectKey) -> int:
        """Return the number of upstreams that a request or part may have crashed."""
        return len(self._crashed.get(key, ()))

    def is_refused(self, keys: Collection[SuspectKey]) -> bool:
        """Return whether a request has what crashes upstreams.

        :param keys: Keys of the request.
        """
        if not self._refused_until:
            return False
        self._expire()
        held = frozenset(keys)
        return any(conviction.keys <= held for conviction in self._refused_until)

    def are_near_conviction(self, keys: Collection[SuspectKey]) -> bool:
        """Return whether one more crash may lead to the refusal of a request with some keys."""
        return any(self.count_crashes(key) >= MIN_CRASHES - 1 for key in keys)

    def record_crash(self, *, upstream: UpstreamId, runs: Iterable[Run]) -> None:
        """Record the crash of an upstream, and the runs on this host that it broke off.

        :param upstream: The upstream.
        :param runs: Keys of each run that may have caused it.
        """
        broken = [run for run in dict.fromkeys(runs) if run]
        if not broken:
            return
        message = Suspect(upstream=upstream, evidence=Evidence.BROKEN, runs=_to_wire(broken))
        self._reports.append((self._clock.now(), message))
        self._suspect_updates.on_next(message)
        self._add_crash(upstream, broken)

    def repeat_reports(self) -> None:
        """Send the peers again what this host has recorded of crashes in the last seconds.

        The coordinators that were to pass it on may have ended before they did.
        """
        now = self._clock.now()
        for at, message in list(self._reports):
            if now - at < REPORT_TTL_MS and UpstreamId(message.upstream) in self._runs:
                self._suspect_updates.on_next(message)

    def record_sound(self, *, keys: Collection[SuspectKey]) -> None:
        """Record that an upstream has answered a request, which clears all of its keys."""
        self._sound.record(keys)
        cleared = sorted(key for key in keys if key in self._crashed)
        for key in cleared:
            last = next(reversed(self._crashed[key]))
            # All hosts that know the same crash send the same message, so that one is enough.
            self._suspect_updates.on_next(
                Suspect(upstream=last, evidence=Evidence.WHOLE, keys=[str(key)])
            )
        self._clear(cleared, is_own=True)

    def record_alive(self, *, upstream: UpstreamId, sent_at: Millis) -> None:
        """Record a response of an upstream.

        It shows that no request has crashed the upstream if it answers a request that was sent
        after the crash had been reported; an earlier one may have been answered before the crash.

        :param upstream: The upstream.
        :param sent_at: When the request was sent that it answers.
        """
        known_at = self._known_at.get(upstream)
        if known_at is not None and sent_at > known_at:
            self._withdraw_crash(upstream, is_own=True)
            self._suspect_updates.on_next(Suspect(upstream=upstream, evidence=Evidence.ALIVE))

    def on_peer(self, message: Suspect) -> None:
        """Apply a message from a peer."""
        upstream = UpstreamId(message.upstream)
        keys = [SuspectKey(key) for key in message.keys]
        match message.evidence:
            case Evidence.BROKEN:
                runs = [frozenset(SuspectKey(key) for key in run) for run in message.runs]
                self._add_crash(upstream, runs, age_ms=message.age_ms)
            case Evidence.WHOLE:
                self._sound.record_told(keys)
                self._clear(keys, is_own=False)
            case Evidence.SOUND:
                self._sound.record_told(keys)
                self._update_convictions()
            case Evidence.ALIVE:
                self._withdraw_crash(upstream, is_own=False)

    def snapshot(self) -> list[Suspect]:
        """Return the messages for a peer that has just connected.

        Keys with a single crash are omitted: nearly all of them are coincidence, and there may be
        hundreds.
        """
        now = self._clock.now()
        messages = []
        repeated: set[SuspectKey] = set()
        for upstream, crash in self._get_crashes().items():
            runs = [
                frozenset(key for key in run if self.count_crashes(key) > 1) for run in crash.runs
            ]
            repeated.update(*runs)
            if any(runs):
                messages.append(
                    Suspect(
                        upstream=upstream,
                        evidence=Evidence.BROKEN,
                        runs=_to_wire(runs),
                        age_ms=now - crash.at,
                    )
                )
        sound = sorted(str(key) for key in repeated if self._sound.is_known(key))
        if sound:
            messages.insert(0, Suspect(evidence=Evidence.SOUND, keys=sound))
        return messages

    def _add_crash(self, upstream: UpstreamId, runs: Sequence[Run], *, age_ms: int = 0) -> None:
        if not runs:
            return
        at = Millis(self._clock.now() - age_ms)
        self._expire()
        added = set()
        self._known_at.setdefault(upstream, self._clock.now())
        for run in runs:
            self._runs.setdefault(upstream, set()).add(run)
            for key in run:
                if self._add_evidence(key, upstream, at):
                    added.add(key)
        if added:
            _log.info(
                "Runs broke off as an upstream crashed.",
                upstream=upstream,
                crashes={key: self.count_crashes(key) for key in sorted(added)},
            )
        for key in self._sound.take_untold(added):
            self._suspect_updates.on_next(Suspect(evidence=Evidence.SOUND, keys=[str(key)]))
        if any(self.count_crashes(key) >= MIN_CRASHES for key in added):
            self._update_convictions()

    def _add_evidence(self, key: SuspectKey, upstream: UpstreamId, at: Millis) -> bool:
        crashed = self._crashed.setdefault(key, {})
        self._crashed.move_to_end(key)
        if upstream in crashed:
            return False
        crashed[upstream] = at
        if len(crashed) == 1:
            self._single[key] = None
        else:
            self._single.pop(key, None)
        return True

    def _get_crashes(self) -> dict[UpstreamId, Crash]:
        """Return the crashes with the keys that have not been cleared since."""
        crashes = {}
        for upstream, runs in self._runs.items():
            left = {
                frozenset(key for key in run if upstream in self._crashed.get(key, ()))
                for run in runs
            }
            times = [self._crashed[key][upstream] for run in left for key in run]
            if times:
                crashes[upstream] = Crash(at=min(times), runs=left - {frozenset()})
        return crashes

    def _update_convictions(self) -> None:
        """Decide anew what is refused, after a change of the evidence."""
        now = self._clock.now()
        previous = {one.keys: until for one, until in self._refused_until.items()}
        current: dict[Conviction, Millis] = {}
        for conviction in attribute(self._get_crashes(), was_sound=self._sound.is_known):
            ttl_ms = SOUND_REFUSAL_MS if conviction.was_sound else SUSPICION_TTL_MS
            until = Millis(now + ttl_ms)
            is_new = conviction.keys not in previous
            if conviction.was_sound and not is_new:
                until = previous[conviction.keys]
            current[conviction] = until
            if is_new:
                self._log_refusal("Requests that crash upstreams are refused.", conviction)
        for conviction in self._refused_until:
            if all(conviction.keys != one.keys for one in current):
                self._log_refusal("Requests are no longer refused.", conviction)
        new = [one for one in current if one.keys not in previous]
        self._refused_until = current
        for conviction in new:
            self._convictions.on_next(conviction)

    def _log_refusal(self, message: str, conviction: Conviction) -> None:
        _log.warning(
            message,
            keys=sorted(conviction.keys),
            crashed=sorted(conviction.crashed),
            was_sound=conviction.was_sound,
        )

    def _clear(self, keys: Collection[SuspectKey], *, is_own: bool) -> None:
        cleared = {key: self.count_crashes(key) for key in keys if key in self._crashed}
        if not cleared:
            return
        _log.info("An answer clears what was suspected.", crashes=cleared, is_own=is_own)
        self._forget(cleared)

    def _withdraw_crash(self, upstream: UpstreamId, *, is_own: bool) -> None:
        runs = self._runs.pop(upstream, None)
        if runs is None:
            return
        del self._known_at[upstream]
        _log.info(
            "A crash is withdrawn, since its upstream has answered.",
            upstream=upstream,
            runs=len(runs),
            is_own=is_own,
        )
        for key in frozenset().union(*runs):
            crashed = self._crashed.get(key)
            if crashed is None or crashed.pop(upstream, None) is None:
                continue
            if not crashed:
                del self._crashed[key]
                self._single.pop(key, None)
            elif len(crashed) == 1:
                self._single[key] = None
        if self._refused_until:
            self._update_convictions()

    def _forget(self, keys: Collection[SuspectKey]) -> None:
        """Remove all evidence against some keys."""
        if not keys:
            return
        upstreams: set[UpstreamId] = set()
        for key in keys:
            upstreams.update(self._crashed.pop(key, ()))
            self._single.pop(key, None)
        for upstream in upstreams:
            if all(
                upstream not in self._crashed.get(key, ())
                for run in self._runs[upstream]
                for key in run
            ):
                del self._runs[upstream]
                del self._known_at[upstream]
        if self._refused_until:
            self._update_convictions()

    def _expire(self) -> None:
        """Remove what is too old, and the oldest of the keys that are too many."""
        now = self._clock.now()
        over = [one for one, until in self._refused_until.items() if until <= now]
        expired = list(takewhile(lambda key: self._is_expired(key, now), self._crashed))
        self._forget([key for one in over for key in one.keys] + expired)
        while (excess := len(self._crashed) - MAX_SUSPECTS + 1) > 0:
            self._forget(list(islice(chain(self._single, self._crashed), excess)))

    def _is_expired(self, key: SuspectKey, now: Millis) -> bool:
        return now - max(self._crashed[key].values()) >= SUSPICION_TTL_MS


def _to_wire(runs: Iterable[Run]) -> list[list[str]]:
    return sorted(sorted(str(key) for key in run) for run in runs if run)
