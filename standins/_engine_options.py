"""Options of the engine stand-in."""

from __future__ import annotations

from dataclasses import dataclass

from standins._batch import BatchLimits


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineOptions:
    """Options of the process; times in milliseconds."""

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

    :param text: As in ``planner=7,other=3``.
    """
    pairs = (item.partition("=") for item in text.split(",") if item)
    return {name: version for name, _, version in pairs}
