"""Draws days that put troubles together as nobody has thought of, for the users' bench.

``python -m testing.days.draw SITE FIRST COUNT DIRECTORY`` writes a day for each seed. The same seed
draws the same day, so a seed that showed a fault says all that is needed to play it again.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
import sys
from typing import Final

LENGTH_S: Final = 34.0
"""How long callers come, in seconds, as in the site files."""

FEWEST_TROUBLES: Final = 2
MOST_TROUBLES: Final = 6
"""The standard days have two to four; more at once finds what one alone hides."""

NOTICE_GAP_S: Final = 3.3
"""Between two engines that are taken away, in seconds, as on the standard days."""

Value = str | float | int


@dataclass(frozen=True, kw_only=True)
class Site:
    """What a site's days name.

    :param models: The service whose engines generate.
    :param bookings: The service whose calls may not be repeated.
    :param classes: Kinds of request.
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
class Trouble:
    """One kind of trouble and the ranges that its figures are drawn from.

    :param kind: Its name on the bench.
    :param hows: Its variants.
    :param ranges: Figures by field, drawn evenly.
    :param counts: Whole figures by field, drawn evenly.
    :param is_planned: Whether it is work that operators plan.
    :param services: Whether it strikes a service: ``models``, ``bookings``, or nothing.
    """

    kind: str
    hows: Sequence[str] = ("",)
    ranges: tuple[tuple[str, float, float], ...] = ()
    counts: tuple[tuple[str, int, int], ...] = ()
    is_planned: bool = False
    services: Sequence[str] = ("",)


_SHARE: Final = ("share", 0.15, 0.6)
_FOR: Final = ("for_s", 2.0, 9.0)
_GAP: Final = ("gap_s", 0.3, 2.0)
_BOTH: Final = ("models", "bookings")

TROUBLES: Final = (
    Trouble(kind="burst", ranges=(("x", 1.3, 2.5), _FOR)),
    Trouble(kind="hot_key", ranges=(_SHARE, _FOR)),
    Trouble(kind="retry_abuse", ranges=(("x", 1.0, 4.0), _SHARE, _FOR)),
    Trouble(kind="give_up", hows=("", "once"), ranges=(_SHARE, _FOR)),
    Trouble(
        kind="srv_crash",
        hows=("", "dark", "gone", "domain"),
        ranges=(("share", 0.15, 0.4), _FOR),
        services=_BOTH,
    ),
    Trouble(
        kind="srv_grey",
        hows=("errors", "shed", "busy", "hang", "reset", "mute", "slow"),
        ranges=(("share", 0.14, 0.4), ("x", 0.2, 0.9), _FOR),
        services=_BOTH,
    ),
    Trouble(kind="srv_slow", ranges=(("share", 0.14, 0.4), ("x", 2.0, 6.0), _FOR), services=_BOTH),
    Trouble(
        kind="srv_cut",
        hows=("", "fronts", "some", "one_way", "reset", "reborn", "some lossy", "fronts reset"),
        ranges=(("share", 0.15, 0.5), _FOR),
        services=_BOTH,
    ),
    Trouble(kind="release", ranges=(_SHARE, _GAP), is_planned=True, services=_BOTH),
    Trouble(
        kind="scale_in",
        hows=("", "spot", "reclaim", "reclaim dry"),
        ranges=(("share", 0.13, 0.35),),
        is_planned=True,
        services=_BOTH,
    ),
    Trouble(kind="scale_out", ranges=(("share", 0.2, 0.5), _GAP), is_planned=True, services=_BOTH),
    Trouble(
        kind="replace_with_reuse",
        hows=("", "drain", "dark"),
        ranges=(("share", 0.15, 0.35),),
        services=_BOTH,
    ),
    Trouble(kind="answer_lost", hows=("", "reset"), ranges=(_SHARE, ("x", 0.02, 0.15), _FOR)),
    Trouble(
        kind="garble",
        hows=("", "extra", "extra late", "unframed", "early", "rot"),
        ranges=(_SHARE, ("x", 0.01, 0.08), _FOR),
    ),
    Trouble(
        kind="node_kill",
        hows=("", "power", "leader", "leader race drain", "meet drain", "reader", "power meet"),
        ranges=(("share", 0.1, 0.5), _FOR),
    ),
    Trouble(kind="node_freeze", hows=("", "renewed", "meet"), ranges=(("share", 0.1, 0.5), _FOR)),
    Trouble(kind="node_slow", ranges=(("share", 0.1, 0.5), ("x", 2.0, 6.0), _FOR)),
    Trouble(
        kind="roll_term",
        hows=("", "busy", "remove", "leader", "starter"),
        ranges=(("share", 0.2, 1.0), _GAP),
        is_planned=True,
    ),
    Trouble(
        kind="herd_kill",
        hows=("", "power", "taken", "taken all"),
        ranges=(("share", 0.4, 1.0), ("for_s", 0.5, 3.0)),
    ),
    Trouble(kind="add_nodes", ranges=(("share", 0.3, 1.0),), is_planned=True),
    Trouble(kind="hup", ranges=(_SHARE, _GAP), is_planned=True),
    Trouble(
        kind="core_cut",
        hows=("", "all", "near", "one_way", "seeds", "both", "lure", "relieve", "leader race"),
        ranges=(_FOR,),
        counts=(("count", 1, 3),),
    ),
    Trouble(
        kind="node_cut",
        hows=("", "all", "servers", "servers reborn", "reset revoke", "meet", "one_way", "revoke"),
        ranges=(("share", 0.15, 0.5), _FOR),
    ),
    Trouble(kind="lossy", ranges=(("x", 0.01, 0.08), _FOR)),
    Trouble(
        kind="platform_down",
        hows=(
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
        ranges=(("share", 0.2, 0.7), ("for_s", 2.0, 9.0)),
    ),
    Trouble(kind="platform_slow", ranges=(("x", 20.0, 150.0), _FOR)),
    Trouble(kind="platform_lost", hows=("", "late"), ranges=(("x", 0.2, 0.7), _FOR)),
    Trouble(kind="platform_compact", hows=("", "drain"), ranges=(("x", 2.0, 8.0), _FOR)),
    Trouble(
        kind="config_change",
        hows=("route", "weights", "timeout", "tenant", "quota", "topup", "idle", "quota down"),
        is_planned=True,
    ),
    Trouble(
        kind="config_storm",
        hows=("", "idle", "route", "tenant", "timeout"),
        ranges=(("for_s", 1.0, 5.0), ("gap_s", 0.05, 0.5)),
        is_planned=True,
    ),
    Trouble(kind="big_config", counts=(("count", 100, 600),), is_planned=True),
    Trouble(
        kind="revoke",
        hows=("", "last"),
        ranges=(("gap_s", 0.1, 1.5),),
        counts=(("count", 1, 4),),
        is_planned=True,
    ),
    Trouble(kind="after_ack_kill", hows=("", "kill", "timed", "taken"), counts=(("count", 1, 3),)),
    Trouble(
        kind="clock_step",
        hows=("back", "ahead"),
        ranges=(_SHARE, ("x", 1_000.0, 8_000.0), _FOR),
    ),
    Trouble(kind="reset_conns", ranges=(_SHARE, ("x", 0.3, 1.0))),
)

CLOSINGS: Final = (("power_off_all", ""), ("power_off_all", "all"), ("kill_all", ""))


def draw_day(*, site: Site, seed: int) -> str:
    """Return a day as TOML.

    :param site: What its entries name.
    :param seed: Draws the day; the bench draws its own luck from it too.
    """
    rng = Random(seed)
    planned = [_notice(site, rng, at) for at in _notice_times()]
    faults: list[dict[str, Value]] = []
    for _ in range(rng.randint(FEWEST_TROUBLES, MOST_TROUBLES)):
        trouble = rng.choice(TROUBLES)
        entries = planned if trouble.is_planned else faults
        entries.append(_draw(site, rng, trouble))
    lines = [f'name = "drawn-{seed}"', 'slot = "trouble"', f"seed = {seed}"]
    lines += _closing(rng)
    lines += _array("plan", planned)
    lines += _array("faults", faults)
    return "\n".join(lines) + "\n"


def _notice_times() -> list[float]:
    count = int((LENGTH_S - 1.5) / NOTICE_GAP_S) + 1
    return [round(1.5 + number * NOTICE_GAP_S, 1) for number in range(count)]


def _notice(site: Site, rng: Random, at: float) -> dict[str, Value]:
    return {
        "at": at,
        "kind": "scale_in",
        "how": "spot",
        "service": site.models,
        "share": 0.17,
        "x": round(rng.uniform(1.5, 2.1), 2),
    }


def _draw(site: Site, rng: Random, trouble: Trouble) -> dict[str, Value]:
    entry: dict[str, Value] = {"at": round(rng.uniform(0.5, 30.0), 2), "kind": trouble.kind}
    how = rng.choice(trouble.hows)
    if how:
        entry["how"] = how
    service = rng.choice(trouble.services)
    if service:
        entry["service"] = site.models if service == "models" else site.bookings
    if trouble.kind in ("hot_key", "burst"):
        entry["class"] = rng.choice(site.classes)
    for field, least, most in trouble.ranges:
        entry[field] = round(rng.uniform(least, most), 3)
    for field, fewest, greatest in trouble.counts:
        entry[field] = rng.randint(fewest, greatest)
    return entry


def _closing(rng: Random) -> list[str]:
    if rng.random() < 0.5:
        return []
    kind, how = rng.choice(CLOSINGS)
    down_s = round(rng.uniform(0.5, 1.5), 2)
    variant = f', how = "{how}"' if how else ""
    return [f'closing = {{ kind = "{kind}", down_s = {down_s}{variant} }}']


def _array(name: str, entries: Sequence[dict[str, Value]]) -> list[str]:
    rows = [f"  {{ {', '.join(_field(*item) for item in entry.items())} }}," for entry in entries]
    return [f"{name} = [", *rows, "]"]


def _field(name: str, value: Value) -> str:
    return f'{name} = "{value}"' if isinstance(value, str) else f"{name} = {value}"


def main() -> None:
    """Write the days that the arguments ask for."""
    name, first, count, directory = sys.argv[1:]
    folder = Path(directory)
    folder.mkdir(parents=True, exist_ok=True)
    for seed in range(int(first), int(first) + int(count)):
        (folder / f"drawn-{seed}.toml").write_text(draw_day(site=SITES[name], seed=seed))


if __name__ == "__main__":
    main()
