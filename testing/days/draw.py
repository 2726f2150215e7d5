"""Generate random days, that is scenarios of combined disturbances, for the users' bench.

``python -m testing.days.draw SITE FIRST COUNT DIRECTORY`` writes one day for each seed. A seed
always generates the same day, so the seed alone is enough to reproduce a failure.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
import sys
from typing import Final

DAY_LENGTH_S: Final = 34.0
"""How long callers send requests, in seconds; same as in the site files."""

MIN_DISTURBANCES: Final = 2
MAX_DISTURBANCES: Final = 6
"""Bounds per day. The standard days have two to four; more at once expose faults in their
combination that a single disturbance does not."""

RECLAIM_INTERVAL_S: Final = 3.3
"""Interval between two engine reclamations, in seconds; same as on the standard days."""

Value = str | float | int


@dataclass(frozen=True, kw_only=True)
class Site:
    """Names that the days of a site refer to.

    :param models: Service whose engines generate tokens.
    :param bookings: Service whose calls are not idempotent.
    :param classes: Request classes.
    """

    models: str
    bookings: str
    classes: Sequence[str]


SITES: Final = {
    "rondes-tr": Site(
        models="modele-rondes",
        bookings="registre-rondes",
        classes=("plan-ronde", "verif-echelle", "reservation", "releve-meteo"),
    ),
    "drehplan-ch": Site(
        models="dispo-llm",
        bookings="crew-portal",
        classes=("dispo-draft", "call-brief", "dispo-change", "dispo-view"),
    ),
}


@dataclass(frozen=True, kw_only=True)
class Disturbance:
    """One kind of disturbance and the ranges of its parameters.

    :param kind: Name of the kind on the bench.
    :param variants: Variants; empty text means the default variant.
    :param float_ranges: Field name and bounds of each real-valued parameter, drawn uniformly.
    :param int_ranges: Field name and bounds of each integer parameter, drawn uniformly.
    :param is_planned: Whether it is a planned operation rather than a fault.
    :param services: Services that it can affect: ``models``, ``bookings``, or empty for none.
    """

    kind: str
    variants: Sequence[str] = ("",)
    float_ranges: tuple[tuple[str, float, float], ...] = ()
    int_ranges: tuple[tuple[str, int, int], ...] = ()
    is_planned: bool = False
    services: Sequence[str] = ("",)


_SHARE_RANGE: Final = ("share", 0.15, 0.6)
_DURATION_RANGE: Final = ("for_s", 2.0, 9.0)
_GAP_RANGE: Final = ("gap_s", 0.3, 2.0)
_BOTH_SERVICES: Final = ("models", "bookings")

DISTURBANCES: Final = (
    Disturbance(kind="burst", float_ranges=(("x", 1.3, 2.5), _DURATION_RANGE)),
    Disturbance(kind="hot_key", float_ranges=(_SHARE_RANGE, _DURATION_RANGE)),
    Disturbance(kind="retry_abuse", float_ranges=(("x", 1.0, 4.0), _SHARE_RANGE, _DURATION_RANGE)),
    Disturbance(
        kind="give_up", variants=("", "once"), float_ranges=(_SHARE_RANGE, _DURATION_RANGE)
    ),
    Disturbance(
        kind="srv_crash",
        variants=("", "dark", "gone", "domain"),
        float_ranges=(("share", 0.15, 0.4), _DURATION_RANGE),
        services=_BOTH_SERVICES,
    ),
    Disturbance(
        kind="srv_grey",
        variants=("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
        float_ranges=(("share", 0.14, 0.4), ("x", 0.2, 0.9), _DURATION_RANGE),
        services=_BOTH_SERVICES,
    ),
    Disturbance(
        kind="srv_slow",
        float_ranges=(("share", 0.14, 0.4), ("x", 2.0, 6.0), _DURATION_RANGE),
        services=_BOTH_SERVICES,
    ),
    Disturbance(
        kind="srv_cut",
        variants=("", "fronts", "some", "one_way", "reset", "reborn", "some lossy", "fronts reset"),
        float_ranges=(("share", 0.15, 0.5), _DURATION_RANGE),
        services=_BOTH_SERVICES,
    ),
    Disturbance(
        kind="release",
        float_ranges=(_SHARE_RANGE, _GAP_RANGE),
        is_planned=True,
        services=_BOTH_SERVICES,
    ),
    Disturbance(
        kind="scale_in",
        variants=("", "spot", "reclaim", "reclaim dry"),
        float_ranges=(("share", 0.13, 0.35),),
        is_planned=True,
        services=_BOTH_SERVICES,
    ),
    Disturbance(
        kind="scale_out",
        float_ranges=(("share", 0.2, 0.5), _GAP_RANGE),
        is_planned=True,
        services=_BOTH_SERVICES,
    ),
    Disturbance(
        kind="replace_with_reuse",
        variants=("", "drain", "dark"),
        float_ranges=(("share", 0.15, 0.35),),
        services=_BOTH_SERVICES,
    ),
    Disturbance(
        kind="answer_lost",
        variants=("", "reset"),
        float_ranges=(_SHARE_RANGE, ("x", 0.02, 0.15), _DURATION_RANGE),
    ),
    Disturbance(
        kind="garble",
        variants=("", "extra", "extra late", "unframed", "early", "rot"),
        float_ranges=(_SHARE_RANGE, ("x", 0.01, 0.08), _DURATION_RANGE),
    ),
    Disturbance(
        kind="node_kill",
        variants=("", "power", "leader", "leader race drain", "meet drain", "reader", "power meet"),
        float_ranges=(("share", 0.1, 0.5), _DURATION_RANGE),
    ),
    Disturbance(
        kind="node_freeze",
        variants=("", "renewed", "meet"),
        float_ranges=(("share", 0.1, 0.5), _DURATION_RANGE),
    ),
    Disturbance(
        kind="node_slow", float_ranges=(("share", 0.1, 0.5), ("x", 2.0, 6.0), _DURATION_RANGE)
    ),
    Disturbance(
        kind="roll_term",
        variants=("", "busy", "remove", "leader", "starter"),
        float_ranges=(("share", 0.2, 1.0), _GAP_RANGE),
        is_planned=True,
    ),
    Disturbance(
        kind="herd_kill",
        variants=("", "power", "taken", "taken all"),
        float_ranges=(("share", 0.4, 1.0), ("for_s", 0.5, 3.0)),
    ),
    Disturbance(kind="add_nodes", float_ranges=(("share", 0.3, 1.0),), is_planned=True),
    Disturbance(kind="hup", float_ranges=(_SHARE_RANGE, _GAP_RANGE), is_planned=True),
    Disturbance(
        kind="core_cut",
        variants=("", "all", "near", "one_way", "seeds", "both", "lure", "relieve", "leader race"),
        float_ranges=(_DURATION_RANGE,),
        int_ranges=(("count", 1, 3),),
    ),
    Disturbance(
        kind="node_cut",
        variants=(
            "",
            "all",
            "servers",
            "servers reborn",
            "reset revoke",
            "meet",
            "one_way",
            "revoke",
        ),
        float_ranges=(("share", 0.15, 0.5), _DURATION_RANGE),
    ),
    Disturbance(kind="lossy", float_ranges=(("x", 0.01, 0.08), _DURATION_RANGE)),
    Disturbance(
        kind="platform_down",
        variants=(
            "silent",
            "busy",
            "reset",
            "silent lapse",
            "reset lapse",
            "nodes busy revoke meet",
            "nodes many revoke",
            "nodes reset revoke meet drain",
            "nodes revoke",
            "nodes drain",
        ),
        float_ranges=(("share", 0.2, 0.7), ("for_s", 2.0, 9.0)),
    ),
    Disturbance(kind="platform_slow", float_ranges=(("x", 20.0, 150.0), _DURATION_RANGE)),
    Disturbance(
        kind="platform_lost", variants=("", "late"), float_ranges=(("x", 0.2, 0.7), _DURATION_RANGE)
    ),
    Disturbance(
        kind="platform_compact",
        variants=("", "drain"),
        float_ranges=(("x", 2.0, 8.0), _DURATION_RANGE),
    ),
    Disturbance(
        kind="config_change",
        variants=("route", "weights", "timeout", "tenant", "quota", "topup", "idle", "quota down"),
        is_planned=True,
    ),
    Disturbance(
        kind="config_storm",
        variants=("", "idle", "route", "tenant", "timeout"),
        float_ranges=(("for_s", 1.0, 5.0), ("gap_s", 0.05, 0.5)),
        is_planned=True,
    ),
    Disturbance(kind="big_config", int_ranges=(("count", 100, 600),), is_planned=True),
    Disturbance(
        kind="revoke",
        variants=("", "last"),
        float_ranges=(("gap_s", 0.1, 1.5),),
        int_ranges=(("count", 1, 4),),
        is_planned=True,
    ),
    Disturbance(
        kind="after_ack_kill",
        variants=("", "kill", "timed", "taken"),
        int_ranges=(("count", 1, 3),),
    ),
    Disturbance(
        kind="clock_step",
        variants=("back", "ahead"),
        float_ranges=(_SHARE_RANGE, ("x", 1_000.0, 8_000.0), _DURATION_RANGE),
    ),
    Disturbance(kind="reset_conns", float_ranges=(_SHARE_RANGE, ("x", 0.3, 1.0))),
)

FINAL_OUTAGES: Final = (("power_off_all", ""), ("power_off_all", "all"), ("kill_all", ""))


def generate_day(*, site: Site, seed: int) -> str:
    """Return a random day as TOML.

    :param site: Site whose services and request classes the entries name.
    :param seed: Seed of the random number generator; the bench seeds its own with it too.
    """
    rng = Random(seed)
    planned = [_build_reclaim(site, rng, at) for at in _reclaim_times()]
    faults: list[dict[str, Value]] = []
    for _ in range(rng.randint(MIN_DISTURBANCES, MAX_DISTURBANCES)):
        disturbance = rng.choice(DISTURBANCES)
        entries = planned if disturbance.is_planned else faults
        entries.append(_build_entry(site, rng, disturbance))
    lines = [f'name = "drawn-{seed}"', 'slot = "trouble"', f"seed = {seed}"]
    lines += _format_final_outage(rng)
    lines += _format_array("plan", planned)
    lines += _format_array("faults", faults)
    return "\n".join(lines) + "\n"


def _reclaim_times() -> list[float]:
    count = int((DAY_LENGTH_S - 1.5) / RECLAIM_INTERVAL_S) + 1
    return [round(1.5 + number * RECLAIM_INTERVAL_S, 1) for number in range(count)]


def _build_reclaim(site: Site, rng: Random, at: float) -> dict[str, Value]:
    return {
        "at": at,
        "kind": "scale_in",
        "how": "spot",
        "service": site.models,
        "share": 0.17,
        "x": round(rng.uniform(1.5, 2.1), 2),
    }


def _build_entry(site: Site, rng: Random, disturbance: Disturbance) -> dict[str, Value]:
    entry: dict[str, Value] = {"at": round(rng.uniform(0.5, 30.0), 2), "kind": disturbance.kind}
    how = rng.choice(disturbance.variants)
    if how:
        entry["how"] = how
    service = rng.choice(disturbance.services)
    if service:
        entry["service"] = site.models if service == "models" else site.bookings
    if disturbance.kind in ("hot_key", "burst"):
        entry["class"] = rng.choice(site.classes)
    for field, low, high in disturbance.float_ranges:
        entry[field] = round(rng.uniform(low, high), 3)
    for field, min_count, max_count in disturbance.int_ranges:
        entry[field] = rng.randint(min_count, max_count)
    return entry


def _format_final_outage(rng: Random) -> list[str]:
    if rng.random() < 0.5:
        return []
    kind, how = rng.choice(FINAL_OUTAGES)
    down_s = round(rng.uniform(0.5, 1.5), 2)
    variant = f', how = "{how}"' if how else ""
    return [f'closing = {{ kind = "{kind}", down_s = {down_s}{variant} }}']


def _format_array(name: str, entries: Sequence[dict[str, Value]]) -> list[str]:
    rows = [
        f"  {{ {', '.join(_format_field(*item) for item in entry.items())} }}," for entry in entries
    ]
    return [f"{name} = [", *rows, "]"]


def _format_field(name: str, value: Value) -> str:
    return f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}"


def main() -> None:
    """Write one file for each seed given by the command-line arguments."""
    name, first, count, directory = sys.argv[1:]
    folder = Path(directory)
    folder.mkdir(parents=True, exist_ok=True)
    for seed in range(int(first), int(first) + int(count)):
        (folder / f"drawn-{seed}.toml").write_text(generate_day(site=SITES[name], seed=seed))


if __name__ == "__main__":
    main()
