"""Deployments of which a day can be played: failure domains, hosts, upstreams and requests."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from typing import Any
from typing import Final

from standins.platform_day_batch import EVENT_TOKENS
from standins.platform_day_batch import MEMORY_TOKENS
from standins.platform_day_batch import SLOTS

ACCOUNTS: Final = 10


@dataclass(frozen=True, slots=True)
class DayKind:
    """A kind of request.

    :param name: Its name, which is also the prefix of its paths.
    :param per_s: Requests per second.
    :param route_kind: Kind of its route.
    :param deadline_ms: How long callers wait.
    :param timeout_ms: Time-out of its route.
    :param target_ms: Target latency of its route.
    :param priority: Priority of its route.
    :param body_bytes: Mean size of its body.
    :param events: Mean, spread and maximum of the number of events; none if it is no stream.
    :param prompt: Mean, spread and maximum of the prompt's tokens.
    :param shared: Tokens of the parts that its prompts share.
    """

    name: str
    per_s: float
    route_kind: str
    deadline_ms: int
    timeout_ms: int
    target_ms: int
    priority: int
    body_bytes: int
    events: tuple[float, float, float] | None = None
    prompt: tuple[float, float, float] = (0.0, 0.0, 0.0)
    shared: int = 0

    @property
    def gap_ms(self) -> float:
        """Time without any byte after which a caller gives up a stream."""
        return max(2_000.0, 4.0 * self.target_ms) if self.events else float(self.deadline_ms)


@dataclass(frozen=True, slots=True)
class DaySite:
    """A deployment.

    :param name: Its name.
    :param model_service: Name of the service of language model engines.
    :param plain_service: Name of the plain service.
    :param host_zones: Failure domains of the hosts; a smaller installation has the first ones.
    :param model_zones: Failure domains of the engines; each has one plain upstream.
    :param model_connections: Connections that an engine accepts.
    :param plain_connections: Connections that a plain upstream accepts.
    :param memory_mb: Memory of a host in units of 1,000,000 bytes.
    :param memory_tokens: Memory of an engine in tokens.
    :param retry_slack: Retries allowed in addition to the ratio.
    :param kinds: Kinds of requests.
    :param zone_clients: Number of clients by failure domain.
    :param is_disturbed: Whether there are disruptions beside planned stops.
    """

    name: str
    model_service: str
    plain_service: str
    host_zones: tuple[str, ...]
    model_zones: tuple[str, ...]
    model_connections: int
    plain_connections: int
    memory_mb: float
    memory_tokens: int
    retry_slack: float
    kinds: tuple[DayKind, ...]
    zone_clients: Mapping[str, int]
    is_disturbed: bool = False

    def max_connections(self, service: str) -> int:
        """Return the connections that an upstream of a service accepts."""
        return self.model_connections if service == self.model_service else self.plain_connections


DRAFT: Final = DayKind(
    "draft", 1.72, "streaming", 39_000, 39_000, 1_800, 1, 2_600,
    (236.0, 0.84, 556.0), (3_000.0, 0.35, 6_000.0), 79,
)  # fmt: skip
BRIEF: Final = DayKind(
    "brief", 2.43, "streaming", 6_000, 6_000, 1_500, 0, 2_900,
    (3.38, 0.89, 11.8), (2_200.0, 0.6, 6_000.0), 350,
)  # fmt: skip
CHANGE: Final = DayKind("change", 14.3, "unsafe", 2_500, 1_200, 150, 2, 600)
VIEW: Final = DayKind("view", 5.7, "safe", 2_500, 1_200, 150, 2, 0)
KINDS: Final = (DRAFT, BRIEF, CHANGE, VIEW)
FAILING_SHARES: Final = {CHANGE.name: 0.004, VIEW.name: 0.14}
"""Part of the plain requests that an upstream answers with a failure."""
DREHPLAN: Final = DaySite(
    name="drehplan-ch",
    model_service="dispo-llm",
    plain_service="crew-portal",
    host_zones=(
        "wankdorf", "bumpliz", "ostermundigen", "wankdorf", "bumpliz", "ostermundigen",
        "wankdorf", "bumpliz", "wankdorf",
    ),
    model_zones=("wankdorf", "wankdorf", "bumpliz", "bumpliz", "ostermundigen"),
    model_connections=282,
    plain_connections=110,
    memory_mb=300.0,
    memory_tokens=MEMORY_TOKENS,
    retry_slack=58,
    kinds=KINDS,
    zone_clients={"wankdorf": 16, "bumpliz": 18, "ostermundigen": 18},
)  # fmt: skip
RONDES: Final = DaySite(
    name="rondes-tr",
    model_service="modele-rondes",
    plain_service="registre-rondes",
    host_zones=("garage-nord", "hotel-ville", "atelier-sud") * 2,
    model_zones=("garage-nord", "garage-nord", "hotel-ville", "hotel-ville", "atelier-sud"),
    model_connections=272,
    plain_connections=96,
    memory_mb=150.0,
    memory_tokens=34_219,
    retry_slack=52,
    kinds=(
        replace(DRAFT, events=(235.0, 0.84, 554.0)),
        replace(BRIEF, per_s=2.42, events=(3.25, 0.89, 11.3)),
        replace(CHANGE, per_s=14.7),
        replace(VIEW, per_s=5.89),
    ),
    zone_clients={"garage-nord": 18, "hotel-ville": 15, "atelier-sud": 19},
    is_disturbed=True,
)
SITES: Final = {site.name: site for site in (DREHPLAN, RONDES)}


def day_configuration(
    site: DaySite, *, version: int = 2, spare_routes: int = 0, account: str = ""
) -> dict[str, Any]:
    """Return the configuration of a day.

    :param site: The deployment.
    :param version: Version of the configuration.
    :param spare_routes: Number of routes that no client uses.
    :param account: API key of an account that no client uses; empty for none.
    """
    routes = [
        {
            "name": kind.name,
            "host": "api.example",
            "pathPrefix": f"/{kind.name}/",
            "kind": kind.route_kind,
            "service": site.model_service if kind.events else site.plain_service,
            "timeoutMs": kind.timeout_ms,
            "targetLatencyMs": kind.target_ms,
            "gapAimMs": 180 if kind.events else 0,
            "priority": kind.priority,
            "attempts": 2 if kind.route_kind == "safe" else 1,
        }
        for kind in site.kinds
    ]
    spare = [
        {**routes[-1], "name": f"spare-{number}", "pathPrefix": f"/spare-{number}/"}
        for number in range(spare_routes)
    ]
    tenants = [
        {"name": f"account-{number}", "apiKeys": [f"key-{number}"]} for number in range(ACCOUNTS)
    ]
    engine = {
        "slots": SLOTS,
        "kvCacheTokens": site.memory_tokens,
        "kvTokenBytes": 163840,
        "linkMbps": 24000.0,
        "moves": True,
        "backups": True,
        "stride": EVENT_TOKENS,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handleS": 5.0,
        "models": [{"name": "m"}],
    }
    return {
        "version": version,
        "routes": routes + spare,
        "services": [
            {
                "name": site.model_service,
                "maxConnections": site.model_connections,
                "engine": engine,
            },
            {"name": site.plain_service, "maxConnections": site.plain_connections},
        ],
        "limits": {"maxBodyBytes": 4_194_304, "idleTimeoutMs": 15_000},
        "tenants": tenants + ([{"name": "spare", "apiKeys": [account]}] if account else []),
    }
