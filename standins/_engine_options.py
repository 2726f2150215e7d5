"""Options of the engine stand-in."""

from __future__ import annotations

from dataclasses import dataclass

from standins._batch import BatchLimits


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineOptions:
    """Options of the engine process.

    :param limits: Capacity and timing of the batch.
    :param models: Versions of the models loaded at the start, by name.
    :param adapters: Versions of the adapters loaded at the start, by name.
    :param cache_tokens: Capacity of the prefix cache, in tokens.
    :param cache_lag_ms: Delay before a cache event is published, in milliseconds.
    :param cache_gap: Fraction of cache events that are never published.
    :param report_lag_ms: Age of the load reports, in milliseconds.
    :param load_ms: Duration of a load or an unload, in milliseconds.
    :param retention_ms: Time for which a finished generation can be resumed, in milliseconds.
    :param checks_fence: Whether orders with a stale fencing number are refused.
    :param weights_url: Base URL from which weights are fetched before a load; empty to skip it.
    :param seed: Seed of the choice of cache events that are not published.
    :param journal: File to which executions are appended; empty for none.
    """

    limits: BatchLimits
    models: dict[str, str]
    adapters: dict[str, str]
    cache_tokens: int = 8_192
    cache_lag_ms: int = 500
    cache_gap: float = 0.0
    report_lag_ms: int = 500
    load_ms: int = 500
    retention_ms: int = 60_000
    checks_fence: bool = True
    weights_url: str = ""
    seed: int = 0
    journal: str = ""


def parse_versions(text: str) -> dict[str, str]:
    """Return versions by name.

    :param text: Comma-separated pairs, such as ``planner=7,other=3``.
    """
    pairs = (item.partition("=") for item in text.split(",") if item)
    return {name: version for name, _, version in pairs}
