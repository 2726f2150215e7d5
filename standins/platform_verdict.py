"""Checks of the guarantees of hosts on the platform, from what callers and upstreams saw."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Mapping
from typing import final

from standins.configuration_rule import UNKNOWN_KEY
from standins.configuration_rule import KeyPeriod
from standins.configuration_rule import KeyUse
from standins.configuration_rule import find_stale_uses
from standins.drain_rule import SentRequest
from standins.drain_rule import find_late_requests
from standins.order_rule import find_broken_order
from standins.platform_callers import REFUSED_STATUSES
from standins.platform_callers import Call
from standins.platform_callers import CallKind
from standins.platform_engine import Ledger
from standins.platform_engine import ReceivedRequest
from standins.platform_engine import event_bytes
from standins.platform_fault_log import Fault
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_served_calls import PART_CRASH
from standins.platform_served_calls import ServedCalls
from standins.rate_limit_rule import Arrival
from standins.rate_limit_rule import LimitPeriod
from standins.rate_limit_rule import find_excess
from standins.recovery_rule import FirstTry
from standins.recovery_rule import find_neglect
from standins.retry_budget_rule import RetryBudgetRule
from tanagerscale.core import MS_PER_SECOND

STREAM_EVENTS = 100
"""Number of events of each stream."""
QUIET_MS = 5_000
"""How long a host must have been without an unplanned fault before a request."""
CLOSE_CROSSING_MS = 200
"""A request that crosses the close of its connection may go unanswered for this long."""
DEADLINE_MARGIN_MS = 100
EARLY_STREAM_MS = 3_000
"""Streams sent up to this time after SIGTERM may be cut off at the end of the grace period."""
LAST_SIXTH = "last sixth of the grace period"
CUT_SHARE = 5 / 6
"""Part of the grace period after which such streams may be cut off."""
LEAVING_DELAY_MS = 2_000
"""Time in which a host stops sending requests to an upstream that says that it leaves."""
PAUSE_DELAY_MS = 500
"""Time in which a host stops sending requests to an upstream that asks for a pause."""
MAX_REQUESTS_IN_PAUSE = 2
CUT_GRACE_MS = 3_000
"""Time after which the callers of a host that is cut off are served nearly as others."""
RATE_LIMIT = "Server-Limit"
SIGNATURE = "Tanagerscale-Server-Stamp"
SERVER_LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"

_UNPLANNED = frozenset((FaultKind.HOST_KILL, FaultKind.HOST_FREEZE, FaultKind.HOST_EXIT))
_INTERRUPTIONS = _UNPLANNED | {FaultKind.HOST_START}
_UPSTREAM_FAULTS = frozenset((FaultKind.UPSTREAM,))
_STOPS = frozenset((FaultKind.HOST_STOP,))
_RESTARTS = _INTERRUPTIONS | _STOPS
_CUTS = frozenset((FaultKind.CUT,))
_STORE_FAULTS = frozenset((FaultKind.STORE,))


@final
class PlatformVerdict:
    """Evaluates one run.

    :param calls: All requests of callers.
    :param ledger: Record of the requests at all upstreams.
    :param fault_log: All faults that were injected.
    :param grace_ms: Grace period of hosts in milliseconds.
    :param retry_rule: How many repeats a service may get.
    """

    def __init__(
        self,
        *,
        calls: list[Call],
        ledger: Ledger,
        fault_log: FaultLog,
        grace_ms: int,
        retry_rule: RetryBudgetRule,
    ) -> None:
        self.paddings: Mapping[str, int] = {}
        """Bytes that each event of a stream has in addition, by service."""
        self.is_planned = False
        """Whether an upstream that ends excuses only requests that it was still at work on."""
        self._retry_rule = retry_rule
        self._calls = {call.request: call for call in calls}
        self._fault_log = fault_log
        self._grace_ms = grace_ms
        self._received: defaultdict[str, list[ReceivedRequest]] = defaultdict(list)
        self._foreign_copies = ledger.foreign_copies
        for received in ledger.received_requests:
            if received.request:
                self._received[received.request].append(received)

    def find_violations(self) -> list[str]:
        """Return a description of each broken guarantee."""
        violations = [
            f"UNKNOWN: upstreams received {request}, which no caller sent"
            for request in self._received
            if request not in self._calls
        ]
        for call in self._calls.values():
            for name, fault in (
                ("ORDER", _find_broken_order(call)),
                ("ANSWER", self._find_wrong_answer(call)),
                ("TWICE", self._find_repeated_execution(call)),
                ("REFUSED", self._find_false_refusal(call)),
                ("LOST", self._find_loss(call)),
            ):
                if fault:
                    violations.append(f"{name}: {fault}: {self.describe(call)}")
        violations += self._find_requests_to_leaving() + self._find_requests_in_pauses()
        violations += self._find_requests_over_limits() + self._find_repeats_over_budget()
        violations += self._find_requests_after_notices() + self._find_stale_keys()
        violations += [
            f"MEMORY: {upstream} got {request} with the copy of {other}"
            for upstream, request, other in self._foreign_copies
        ]
        served = ServedCalls(
            calls=list(self._calls.values()), received=self._received, fault_log=self._fault_log
        )
        violations += self._find_neglected_callers() + served.find_neglected_crowds()
        return violations + served.find_crashing_parts()

    def _find_wrong_answer(self, call: Call) -> str:
        if call.status // 100 in (3, 4) and call.status not in REFUSED_STATUSES:
            if call.may_be_denied and call.status == UNKNOWN_KEY:
                return ""
            return "a proper request is answered as one that isn't allowed"
        if call.status // 100 != 2 or _find_broken_order(call):
            return ""
        if not call.is_complete:
            # A slow caller may abandon a stream; what it has read must be right so far.
            is_right = not call.is_slow or self._whole_stream(call).startswith(call.body)
            return "" if is_right else "what was read is not the beginning of a stream"
        if call.headers.get("Tanagerscale-Attempt-Id") != call.request:
            return "the answer belongs to another request"
        upstream = call.headers.get(SIGNATURE, "")
        if upstream not in {received.upstream for received in self._received[call.request]}:
            return "the answer is not signed by an upstream that received the request"
        if not call.kind.is_stream:
            expected = f"{upstream} answers {call.request}".encode()
            return "" if call.body == expected else "the answer is not whole"
        whole = self._whole_stream(call)
        if not whole:
            return "the stream has no generation"
        return "" if call.body == whole else "the stream is not whole, or not of one generation"

    def _whole_stream(self, call: Call) -> bytes:
        """Return the whole stream of the generation in its first event; empty if it has none."""
        generation = call.body.partition(b"\n\n")[0].rsplit(b".", 2)[-2:-1]
        if not generation or not generation[0].isdigit():
            return b""
        events = range(1, STREAM_EVENTS + 1)
        number, padding = int(generation[0]), self.paddings.get(call.kind.service, 0)
        return b"".join(event_bytes(call.request, number, event, padding) for event in events)

    def _find_repeated_execution(self, call: Call) -> str:
        if call.kind is CallKind.SAFE:
            return ""
        # A continuation from a copy is the same execution.
        executed = [
            received
            for received in self._received[call.request]
            if received.executed and "Kv-From" not in received.headers
        ]
        return f"executed {len(executed)} times" if len(executed) > 1 else ""

    def _find_false_refusal(self, call: Call) -> str:
        executed = any(received.executed for received in self._received[call.request])
        return "executed in spite of the refusal" if executed and _is_refused(call) else ""

    def _find_loss(self, call: Call) -> str:
        received = self._received[call.request]
        if call.is_complete or call.gave_up or self.find_excuse(call):
            return ""
        if received:
            return "closed without a complete answer after it was passed on"
        closed_ms = call.ended - call.sent
        return f"closed unanswered after {closed_ms} ms" if closed_ms > CLOSE_CROSSING_MS else ""

    def received(self, call: Call) -> list[ReceivedRequest]:
        """Return the requests by which a call reached upstreams."""
        return self._received[call.request]

    def find_excuse(self, call: Call) -> str:
        """Return why the end of a call without an answer is allowed; empty if it isn't."""
        received = self._received[call.request]
        if call.ended >= call.sent + call.kind.deadline_ms - DEADLINE_MARGIN_MS:
            return "deadline"
        if self._fault_log.find(
            call.host, _UNPLANNED | _CUTS, began=call.sent - QUIET_MS, ended=call.ended
        ):
            return "unplanned fault of its host"
        if any(self._has_broken_off(call, item) for item in received):
            return "its upstream broke off"
        if self._has_lost_its_target(call, received):
            return "the target of its move crashed"
        return LAST_SIXTH if self._is_cut_at_end_of_grace(call, received) else ""

    def _has_broken_off(self, call: Call, item: ReceivedRequest) -> bool:
        is_over = self.is_planned and item.ended is not None
        ended = item.ended if is_over and item.ended is not None else call.ended
        return bool(
            self._fault_log.find(item.upstream, _UPSTREAM_FAULTS, began=item.arrived, ended=ended)
        )

    def _has_lost_its_target(self, call: Call, received: list[ReceivedRequest]) -> bool:
        """Return whether a stream was moving to an upstream as that crashed under a part."""
        last = max((item.ended or call.ended for item in received), default=call.ended)
        return call.kind.is_stream and any(
            fault.detail == PART_CRASH
            and fault.target.startswith(call.kind.service)
            and last <= fault.began <= call.ended
            for fault in self._fault_log.faults
        )

    def _is_cut_at_end_of_grace(self, call: Call, received: list[ReceivedRequest]) -> bool:
        for stop in self._fault_log.find(call.host, _STOPS, began=call.sent, ended=call.ended):
            last_sixth = stop.began + self._grace_ms * CUT_SHARE
            is_generating = any(item.ended is None or item.ended >= last_sixth for item in received)
            is_early = call.sent <= stop.began + EARLY_STREAM_MS
            if call.kind.is_stream and is_early and is_generating and call.ended >= last_sixth:
                return True
        return False

    def _find_requests_to_leaving(self) -> list[str]:
        told: dict[tuple[str, str, int], list[int]] = defaultdict(list)
        for call, received in self._pairs():
            is_passed_on = call.headers.get(SIGNATURE) == received.upstream and call.head_at
            if is_passed_on and SERVER_LEAVING in received.answer_headers:
                sender = _sender(call, received)
                told[sender, received.upstream, received.born].append(_told_at(call, received))
        violations = []
        for call, received in self._pairs():
            times = sorted(told[_sender(call, received), received.upstream, received.born])
            earlier = bisect_right(times, call.sent - LEAVING_DELAY_MS - 1)
            if not earlier:
                continue
            # Only the last of the earlier answers may be later than a restart or freeze.
            since = times[earlier - 1]
            if not self._is_interrupted(_sender(call, received), since, received.arrived):
                violations.append(
                    f"LEAVING: reached {received.upstream} {received.arrived - since} ms after it "
                    f"said that it leaves: {self.describe(call)}"
                )
        return violations

    def _find_requests_after_notices(self) -> list[str]:
        arrivals: dict[str, list[SentRequest]] = defaultdict(list)
        for call, received in self._pairs():
            if received.executed:
                request = SentRequest(
                    call.request, _sender(call, received), call.sent, received.arrived
                )
                arrivals[received.upstream].append(request)
        violations = []
        for notice in self._fault_log.faults:
            if notice.kind is not FaultKind.NOTICE:
                continue
            late = find_late_requests(
                acknowledged=notice.began,
                requests=arrivals[notice.target],
                is_store_disturbed=lambda began, ended: bool(
                    self._fault_log.find("", _STORE_FAULTS, began=began, ended=ended)
                ),
                is_host_disturbed=lambda host, began, ended: bool(
                    self._fault_log.find(host, _RESTARTS | _STORE_FAULTS, began=began, ended=ended)
                ),
            )
            if late:
                last = max(late, key=lambda request: request.arrived)
                violations.append(
                    f"DRAIN: {len(late)} requests reached {notice.target}, the last "
                    f"{last.arrived - notice.began} ms after its leaving was acknowledged: "
                    f"{last.request} from {last.host}"
                )
        return violations

    def _find_stale_keys(self) -> list[str]:
        periods = {
            fault.target: KeyPeriod(fault.began, fault.ended)
            for fault in self._fault_log.faults
            if fault.kind is FaultKind.KEY
        }
        uses = [
            KeyUse(
                call.request,
                call.host,
                call.key,
                call.sent,
                call.ended,
                call.status,
                any(received.executed for received in self._received[request]),
            )
            for request, call in self._calls.items()
            if call.key in periods
        ]
        return find_stale_uses(
            periods=periods,
            uses=uses,
            is_disturbed=lambda host, began, ended: any(
                self._fault_log.find(target, _RESTARTS | _STORE_FAULTS, began=began, ended=ended)
                for target in (host, "")
            ),
        )

    def _find_requests_in_pauses(self) -> list[str]:
        arrivals: dict[tuple[str, str, int], list[ReceivedRequest]] = defaultdict(list)
        for call, received in self._pairs():
            arrivals[_sender(call, received), received.upstream, received.born].append(received)
        violations = []
        for (host, upstream, _), requests in arrivals.items():
            for refusal in requests:
                pause = refusal.answer_headers.get(RETRY_AFTER)
                if pause is None or refusal.ended is None:
                    continue
                began = refusal.ended + PAUSE_DELAY_MS
                ended = refusal.ended + int(float(pause) * MS_PER_SECOND)
                late = [item.request for item in requests if began < item.arrived < ended]
                if len(late) > MAX_REQUESTS_IN_PAUSE and not self._is_interrupted(
                    host, refusal.ended, ended
                ):
                    violations.append(
                        f"PAUSE: {upstream} asked {host} for a pause at {refusal.ended} "
                        f"({refusal.request}) and got {len(late)} requests: {late[:5]}"
                    )
        return violations

    def _find_requests_over_limits(self) -> list[str]:
        limits = [fault for fault in self._fault_log.faults if fault.kind is FaultKind.LIMIT]
        if not limits:
            return []
        arrivals: dict[str, list[Arrival]] = defaultdict(list)
        told: dict[str, dict[str, list[int]]] = defaultdict(lambda: defaultdict(list))
        for call, received in self._pairs():
            incarnation = limit_target(received.upstream, received.born)
            arrivals[incarnation].append(Arrival(received.arrived, _sender(call, received)))
            is_passed_on = call.headers.get(SIGNATURE) == received.upstream and call.head_at
            if is_passed_on and RATE_LIMIT in received.answer_headers:
                told[incarnation][_sender(call, received)].append(_told_at(call, received))
        violations = []
        for limit in limits:
            excess = find_excess(
                arrivals=sorted(arrivals[limit.target], key=lambda arrival: arrival.at),
                period=LimitPeriod(
                    limit.began, limit.ended or limit.began, [(limit.began, float(limit.detail))]
                ),
                told={host: sorted(times) for host, times in told[limit.target].items()},
                is_interrupted=lambda host, began, ended: bool(
                    self._fault_log.find(host, _RESTARTS, began=began, ended=ended)
                ),
            )
            if excess:
                violations.append(f"LIMIT: {limit.target} {excess}")
        return violations

    def _find_repeats_over_budget(self) -> list[str]:
        requests: defaultdict[str, list[int]] = defaultdict(list)
        arrivals: defaultdict[str, list[tuple[int, str]]] = defaultdict(list)
        for call in self._calls.values():
            requests[call.kind.service].append(call.sent)
            arrivals[call.kind.service] += [
                (received.arrived, call.request) for received in self._received[call.request]
            ]
        return [
            f"BUDGET: {service} {excess}"
            for service, arrived in arrivals.items()
            if (
                excess := self._retry_rule.find_excess(
                    requests=sorted(requests[service]), arrivals=sorted(arrived)
                )
            )
        ]

    def _find_neglected_callers(self) -> list[str]:
        cuts = [fault for fault in self._fault_log.faults if fault.kind is FaultKind.CUT]
        tries = []
        for call in self._calls.values():
            known = [cut for cut in cuts if cut.began + CUT_GRACE_MS <= call.sent <= _end(cut)]
            is_in_touch = not self._fault_log.find(
                call.host, _RESTARTS, began=call.sent - CUT_GRACE_MS, ended=call.ended
            )
            if not known or not is_in_touch:
                continue
            is_cut_off = any(cut.target == call.host for cut in known)
            if is_cut_off and not self._find_hosts_with_path(call):
                continue
            is_near_cut = self._fault_log.find(
                call.host, _CUTS, began=call.sent - CUT_GRACE_MS, ended=call.ended
            )
            if is_cut_off or not is_near_cut:
                is_served = call.is_complete and call.status // 100 == 2
                tries.append(FirstTry(is_cut_off=is_cut_off, is_served=is_served))
        neglect = find_neglect(tries)
        return [f"RECOVER: {neglect}"] if neglect else []

    def _find_hosts_with_path(self, call: Call) -> list[str]:
        """Return the hosts that are in touch and not cut off while a request is under way."""
        hosts = {
            fault.target for fault in self._fault_log.faults if fault.kind is FaultKind.HOST_START
        }
        return [
            host
            for host in hosts
            if not self._fault_log.find(
                host, _RESTARTS | _CUTS, began=call.sent - CUT_GRACE_MS, ended=call.ended
            )
        ]

    def _pairs(self) -> list[tuple[Call, ReceivedRequest]]:
        return [
            (call, received)
            for request, call in self._calls.items()
            for received in self._received[request]
        ]

    def _is_interrupted(self, host: str, began: int, ended: int) -> bool:
        return bool(self._fault_log.find(host, _INTERRUPTIONS, began=began, ended=ended))

    def describe(self, call: Call) -> str:
        """Return what is known of a request."""
        reached = ", ".join(
            f"{item.upstream}@{item.arrived}-{item.ended}{' executed' if item.executed else ''}"
            for item in self._received[call.request]
        )
        stops = [
            f"SIGTERM@{stop.began}"
            for stop in self._fault_log.find(
                call.host, _STOPS, began=call.sent - QUIET_MS, ended=call.ended
            )
        ]
        return (
            f"{call.request} ({call.kind.value}) to {call.host}, sent {call.sent}, "
            f"status {call.status}, {len(call.body)} bytes, ended {call.ended}; "
            f"reached [{reached}]; {stops}"
        )


def limit_target(upstream: str, born: int) -> str:
    """Return the name under which the limits of one incarnation of an upstream are recorded."""
    return f"{upstream}@{born}"


def _told_at(call: Call, received: ReceivedRequest) -> int:
    """Return from when a host knows what an answer says that it has passed on.

    A stream may continue in the answer to a later request, at the same upstream too.
    """
    return max(call.head_at, received.arrived)


def _sender(call: Call, received: ReceivedRequest) -> str:
    """Return the host from which a request reached an upstream."""
    return received.sender or call.host


def _end(fault: Fault) -> int:
    """Return the end of a fault; it is over at the end of a run."""
    return fault.began if fault.ended is None else fault.ended


def _find_broken_order(call: Call) -> str:
    if not call.kind.is_stream or call.status // 100 != 2:
        return ""
    return find_broken_order(bytes(call.body), events=STREAM_EVENTS, is_complete=call.is_complete)


def _is_refused(call: Call) -> bool:
    return call.is_complete and call.status in REFUSED_STATUSES
