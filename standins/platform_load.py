"""Load of a soak under which accounts, connections, callers and engines are uneven."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import Any
from typing import Final

from standins.platform_callers import Call
from standins.platform_callers import CallKind
from standins.platform_engine import Ledger
from standins.platform_engine import UpstreamEmulator
from standins.platform_faults import soak_configuration
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import NOTES_SERVICE
from standins.platform_world import PLAIN_SERVICE

ACCOUNTS: Final = {"key-of-large": 70, "key-of-medium": 20, "key-of-small": 10}
"""API keys of the accounts, each with its part of 100 requests."""
SLOTS: Final = 4
"""Concurrent runs of an engine, fewer than callers ask for."""
MAX_CONNECTIONS: Final = 12
"""Connections that a plain upstream accepts from all hosts."""
ANSWER_MS: Final = 100
PADDINGS: Final = {NOTES_SERVICE: 60, MODEL_SERVICE: 400}
"""Bytes that each event has in addition. At 1 kB/s a short stream takes 9 s, within the deadline; a
long one has 42 kB, more than sockets hold, and is abandoned."""
EVENT_MS: Final = {NOTES_SERVICE: 7.0, MODEL_SERVICE: 20.0}
SLOW_FACTOR: Final = 2.4
"""How much longer every third engine takes."""
SLOW_READER_CALLS: Final = {CallKind.SHORT: 3, CallKind.LONG: 1}
AFTER_FAULTS_MS: Final = 3_000
"""How long callers continue after the last fault."""
STARVED_SHARE: Final = 1 / 4
"""Part of the usual success that the generations of each account must have."""
MIN_CALLS: Final = 20
"""Least number of requests by which an account or a service is judged."""


def load_configuration(version: int) -> dict[str, Any]:
    """Return a configuration with little room, and priorities that each version reverses."""
    value = soak_configuration(version)
    for service in value["services"]:
        if service["name"] == PLAIN_SERVICE:
            service["maxConnections"] = MAX_CONNECTIONS
        else:
            service["engine"] = {**service["engine"], "slots": SLOTS}
    priorities = (0, 1, 2) if version % 2 else (2, 1, 0)
    value["tenants"] = [
        {"name": key.removeprefix("key-of-"), "apiKeys": [key], "priority": priority}
        for key, priority in zip(ACCOUNTS, priorities, strict=True)
    ]
    return value


def shape_upstream(upstream: UpstreamEmulator) -> None:
    """Set limits, sizes and speed of an upstream by its service and its number."""
    service, _, number = upstream.upstream.rpartition("-")
    if service == PLAIN_SERVICE:
        upstream.max_connections = MAX_CONNECTIONS
        upstream.answer_ms = ANSWER_MS
        return
    upstream.padding = PADDINGS[service]
    # The upstreams of three services are numbered in turn.
    upstream.event_ms = EVENT_MS[service] * (1.0 if int(number) // 3 % 3 else SLOW_FACTOR)


def judge_load(
    calls: Sequence[Call], ledger: Ledger, *, since: int, connections: bool
) -> list[str]:
    """Print how the load was served, and return the broken guarantees.

    :param calls: All requests of callers.
    :param ledger: Record of the upstreams.
    :param since: Monotonic time at which all faults had ended.
    :param connections: Whether connections beyond the limit of an upstream are a violation.
    """
    streams = [call for call in calls if call.kind.is_stream and not call.is_slow]
    accounts = {key: [call for call in streams if call.key == key] for key in ACCOUNTS}
    groups = accounts | {"slow callers": [call for call in calls if call.is_slow]}
    summary = ", ".join(f"{name} {_served(own)} of {len(own)}" for name, own in groups.items())
    excess = _find_excess_connections(ledger)
    print(summary, *excess, sep="\n")
    violations = excess if connections else []
    for key, own in accounts.items():
        least = STARVED_SHARE * _served(streams) * len(own)
        if len(own) >= MIN_CALLS and _served(own) * len(streams) < least:
            violations.append(f"STARVED: {key}: {summary}")
    for service in (MODEL_SERVICE, NOTES_SERVICE, PLAIN_SERVICE):
        late = [call for call in calls if call.sent > since and call.kind.service == service]
        if len(late) >= MIN_CALLS and not _served(late):
            violations.append(f"RECOVER: none of {len(late)} requests for {service} after faults")
    return violations


def _find_excess_connections(ledger: Ledger) -> list[str]:
    """Return the upstreams to which all hosts together opened more connections than allowed."""
    senders: dict[str, Counter[str]] = {}
    for upstream, ip in ledger.connection_resets:
        senders.setdefault(upstream, Counter())[ledger.hosts.get(ip, ip)] += 1
    return [
        f"CONNECTIONS: {upstream} reset {hosts.total()} beyond {MAX_CONNECTIONS}: {dict(hosts)}"
        for upstream, hosts in senders.items()
    ]


def _served(calls: Sequence[Call]) -> int:
    return sum(call.is_complete and call.status // 100 == 2 for call in calls)
