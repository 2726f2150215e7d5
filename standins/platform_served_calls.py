"""Checks of how callers are served beside parts that crash upstreams, and beside crowds."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import final

from standins.crashing_part_rule import CrashingArrival
from standins.crashing_part_rule import CrashingPartRule
from standins.crashing_part_rule import SoundTry
from standins.platform_callers import Call
from standins.platform_engine import ReceivedRequest
from standins.platform_engine import shared_parts
from standins.platform_fault_log import Fault
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog

PART_RULE = CrashingPartRule(contact_ms=3_000)
PART_CRASH = "part"
"""Detail of the crash of an upstream under a part of a prompt."""
CROWD_RATIO = 3 / 4
"""Part of the usual success that requests must have while most new connections go to one host."""
MIN_READ = 20

_OUT_OF_TOUCH = frozenset(
    (
        FaultKind.HOST_KILL,
        FaultKind.HOST_FREEZE,
        FaultKind.HOST_EXIT,
        FaultKind.HOST_START,
        FaultKind.HOST_STOP,
        FaultKind.CUT,
    )
)


@final
class ServedCalls:
    """Evaluates how the calls of one run were served.

    :param calls: All requests of callers.
    :param received: What upstreams have received of each request.
    :param fault_log: All faults that were injected.
    """

    def __init__(
        self,
        *,
        calls: Sequence[Call],
        received: Mapping[str, Sequence[ReceivedRequest]],
        fault_log: FaultLog,
    ) -> None:
        self._calls = calls
        self._received = received
        self._fault_log = fault_log

    def find_neglected_crowds(self) -> list[str]:
        """Return the crowds in which fewer requests were served that hosts had read."""
        violations = []
        for crowd in [one for one in self._fault_log.faults if one.kind is FaultKind.CROWD]:
            before = self._served_of_read(crowd.began - PART_RULE.contact_ms, crowd.began)
            beside = self._served_of_read(crowd.began + PART_RULE.contact_ms, _end(crowd))
            if len(before) < MIN_READ or len(beside) < MIN_READ:
                continue
            if sum(beside) / len(beside) < CROWD_RATIO * sum(before) / len(before):
                violations.append(
                    f"RECOVER: while most new connections went to {crowd.target}, {sum(beside)} of "
                    f"{len(beside)} requests were served, {sum(before)} of {len(before)} before"
                )
        return violations

    def _served_of_read(self, began: int, ended: int) -> list[bool]:
        """Return which requests of a period were served, of those that hosts in touch have read.

        A connection that is closed without any answer or arrival may not have been read.
        """
        return [
            call.is_complete and call.status // 100 == 2
            for call in self._calls
            if began <= call.sent < ended
            and (call.status or call.gave_up or self._received[call.request])
            and self._is_in_touch(call.host, call.sent)
        ]

    def find_crashing_parts(self) -> list[str]:
        """Return the broken rules on parts of prompts that crash upstreams."""
        violations = []
        for part in [one for one in self._fault_log.faults if one.kind is FaultKind.PART]:
            arrivals = sorted(
                (
                    CrashingArrival(received.arrived, received.sender or call.host)
                    for call in self._calls
                    for received in self._received[call.request]
                    if part.target in shared_parts(received.headers)
                ),
                key=lambda arrival: arrival.at,
            )
            crashes = [
                fault.began
                for fault in self._fault_log.faults
                if fault.kind is FaultKind.UPSTREAM and fault.detail == PART_CRASH
            ]
            excess = PART_RULE.find_excess(
                crashes=crashes, arrivals=arrivals, is_in_touch=self._is_in_touch
            )
            neglect = PART_RULE.find_neglect(
                crashes=crashes, last_sent=_end(part), tries=self._sound_tries(part)
            )
            violations += [f"BUDGET: {excess}"] if excess else []
            violations += [f"LOST: {neglect}"] if neglect else []
        return violations

    def _sound_tries(self, part: Fault) -> list[SoundTry]:
        """Return the requests for streams that don't have a part; they share all else with it."""
        return [
            SoundTry(
                at=call.sent,
                has_begun=call.status // 100 == 2 and bool(call.body),
                is_usual=call.ended < part.began,
            )
            for call in self._calls
            if call.kind.is_stream
            and part.target not in call.parts
            and self._is_in_touch(call.host, call.sent)
        ]

    def _is_in_touch(self, host: str, at: int) -> bool:
        return not self._fault_log.find(
            host, _OUT_OF_TOUCH, began=at - PART_RULE.contact_ms, ended=at
        )


def _end(fault: Fault) -> int:
    """Return the end of a fault; it is over at the end of a run."""
    return fault.began if fault.ended is None else fault.ended
