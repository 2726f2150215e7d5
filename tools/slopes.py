"""Measures how the cost of each role grows, and prints lines through the figures.

Run it with ``make slopes``. At most three processes run at once. Figures on a machine that
others use vary by some tens of percent; the shape of the lines is what counts.
"""

from __future__ import annotations

from rich.console import Console

from tools.slopes_fit import Fit
from tools.slopes_fit import each_size
from tools.slopes_fit import fit
from tools.slopes_fit import print_fits
from tools.slopes_fit import print_rows
from tools.slopes_mesh import CONNECTIONS
from tools.slopes_mesh import measure_connections
from tools.slopes_mesh import measure_message_us
from tools.slopes_partners import Choose
from tools.slopes_partners import everyone
from tools.slopes_partners import lookup_rounds
from tools.slopes_partners import measure
from tools.slopes_partners import rendezvous
from tools.slopes_partners import rendezvous_near_and_far
from tools.slopes_partners import xor_buckets
from tools.slopes_poll import ENGINES
from tools.slopes_poll import measure_poll
from tools.slopes_routing import CELL_SIZES
from tools.slopes_routing import LEDGER_SIZES
from tools.slopes_routing import RUNNING_SIZES
from tools.slopes_routing import measure_idle_cpu_ms
from tools.slopes_routing import measure_ledger_kib
from tools.slopes_routing import measure_placement
from tools.slopes_routing import progress_bytes
from tools.slopes_spread import MESH_SIZES
from tools.slopes_spread import measure_spread

TARGET_HOSTS = 390
TARGET_RUNNING_PER_HOST = 390
"""2,000,000 tokens a second at 76 ms a token, over 390 hosts."""
TARGET_CELL = 32

STRATEGIES: dict[str, Choose] = {
    "full mesh": everyone,
    "rendezvous, 4 chosen": rendezvous(4),
    "rendezvous, 8 chosen": rendezvous(8),
    "rendezvous, 4 near and 4 far": rendezvous_near_and_far(8),
    "rendezvous, 3 near and 3 far": rendezvous_near_and_far(6),
    "XOR buckets, 1 each": xor_buckets(1, region_first=False),
    "XOR buckets, 2 each": xor_buckets(2, region_first=False),
    "XOR buckets, region first, 1 each": xor_buckets(1, region_first=True),
}


def main() -> None:
    """Measure and print everything."""
    console = Console(width=150)
    print_fits(_mesh_fits(), title="Mesh member (one host, idle peers)", console=console)
    console.print(f"One ask received over a WebSocket: {measure_message_us():.1f} us")
    print_fits(_routing_fits(), title="Entry and pool owner", console=console)
    print_fits(_spread_fits(), title="Declarations follower in a full mesh", console=console)
    print_fits(_poll_fits(), title="Pool owner: reading engines", console=console)
    _print_partners(console)


def _mesh_fits() -> list[Fit]:
    figures = [measure_connections(number) for number in CONNECTIONS]
    columns = {
        "CPU, ms/s": [each.cpu_ms_per_s for each in figures],
        "sent in frames, B/s": [each.sent_bytes_per_s for each in figures],
        "messages, 1/s": [each.messages_per_s for each in figures],
        "memory, KiB": [each.memory_kib for each in figures],
    }
    return [
        fit(
            name=name,
            size_name="connection",
            sizes=CONNECTIONS,
            values=values,
            target=TARGET_HOSTS - 1,
        )
        for name, values in columns.items()
    ]


def _routing_fits() -> list[Fit]:
    by_cell = [measure_placement(engines=number, running=100) for number in CELL_SIZES]
    by_running = [measure_placement(engines=16, running=number) for number in RUNNING_SIZES]
    return [
        fit(
            name="placement, both hosts, CPU us",
            size_name="engine of the cell",
            sizes=CELL_SIZES,
            values=[each.cpu_us for each in by_cell],
            target=TARGET_CELL,
        ),
        fit(
            name="placement, both hosts, CPU us",
            size_name="running generation",
            sizes=RUNNING_SIZES,
            values=[each.cpu_us for each in by_running],
            target=TARGET_RUNNING_PER_HOST,
        ),
        fit(
            name="placement, frames, B",
            size_name="engine of the cell",
            sizes=CELL_SIZES,
            values=[each.frame_bytes for each in by_cell],
            target=TARGET_CELL,
        ),
        fit(
            name="running with progress, both hosts, CPU ms/s",
            size_name="running generation",
            sizes=RUNNING_SIZES,
            values=[measure_idle_cpu_ms(running=number) for number in RUNNING_SIZES],
            target=TARGET_RUNNING_PER_HOST,
        ),
        fit(
            name="progress message, B",
            size_name="running generation",
            sizes=RUNNING_SIZES,
            values=each_size(RUNNING_SIZES, progress_bytes),
            target=TARGET_RUNNING_PER_HOST,
        ),
        fit(
            name="entry and ledger together, KiB",
            size_name="placement",
            sizes=LEDGER_SIZES,
            values=each_size(LEDGER_SIZES, measure_ledger_kib),
            target=TARGET_RUNNING_PER_HOST,
        ),
    ]


def _spread_fits() -> list[Fit]:
    figures = [measure_spread(number) for number in MESH_SIZES]
    columns = {
        "time until the last host has a change, ms": [each.spread_ms for each in figures],
        "one change at one host, CPU ms": [each.host_cpu_ms for each in figures],
        "one change, messages a host sends": [each.host_messages for each in figures],
        "one change, frames a host sends, B": [each.host_bytes for each in figures],
    }
    return [
        fit(name=name, size_name="host", sizes=MESH_SIZES, values=values, target=TARGET_HOSTS)
        for name, values in columns.items()
    ]


def _poll_fits() -> list[Fit]:
    figures = [measure_poll(number) for number in ENGINES]
    columns = {
        "one read of load and cache events, CPU us": [each.cpu_us for each in figures],
        "one read of load and cache events, HTTP B": [each.wire_bytes for each in figures],
    }
    return [
        fit(
            name=name,
            size_name="engine read at once",
            sizes=ENGINES,
            values=values,
            target=TARGET_CELL,
        )
        for name, values in columns.items()
    ]


def _print_partners(console: Console) -> None:
    rows = []
    for name, choose in STRATEGIES.items():
        figures = measure(choose)
        rows.append(
            [
                name,
                f"{figures.degree:.1f} / {figures.most}",
                f"{figures.beat_bytes_per_s:.0f}",
                f"{figures.change_bytes_per_s:.0f}",
                f"{figures.spread_ms:.0f}",
                f"{figures.lost_domain_ms:.0f} ({figures.lost_domain_reached:.3f})",
                f"{figures.region_together:.2f}",
                f"{figures.heal_ms:.0f}",
            ]
        )
    headings = [
        "partners",
        "degree mean / most",
        "heartbeats sent, B/s",
        "changes, B/s",
        "spread, ms",
        "domain lost, ms (reached)",
        "cut region together",
        "healed, ms",
    ]
    title = "Partners at 390 hosts, computed on graphs with real frame sizes"
    print_rows(rows, title=title, headings=headings, console=console)
    for contacts in (1, 2):
        rounds, messages = lookup_rounds(contacts=contacts)
        console.print(
            f"XOR lookup, {contacts} each: {rounds:.2f} rounds, {messages:.1f} messages; "
            "rendezvous over the host list: none"
        )


if __name__ == "__main__":
    main()
