"""Measure how the cost of each role grows with size, and fit lines to the measurements.

Run it with ``make slopes``. At most three processes run at once. On a shared machine the
measurements vary by some tens of percent; only the trend of the lines is meaningful.
"""

from __future__ import annotations

from rich.console import Console

from tools.slopes_fit import Fit
from tools.slopes_fit import fit
from tools.slopes_fit import measure_sizes
from tools.slopes_fit import print_fits
from tools.slopes_fit import print_rows
from tools.slopes_mesh import CONNECTION_COUNTS
from tools.slopes_mesh import measure_connections
from tools.slopes_mesh import measure_receive_us
from tools.slopes_partners import Strategy
from tools.slopes_partners import evaluate_strategy
from tools.slopes_partners import full_mesh
from tools.slopes_partners import lookup_rounds
from tools.slopes_partners import rendezvous_near_and_far
from tools.slopes_partners import rendezvous_top
from tools.slopes_partners import xor_buckets
from tools.slopes_poll import ENGINE_COUNTS
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

TARGET_HOST_COUNT = 390
TARGET_RUNNING_PER_HOST = 390
"""2,000,000 tokens per second at 76 ms per token, distributed over 390 hosts."""
TARGET_CELL_ENGINES = 32

STRATEGIES: dict[str, Strategy] = {
    "full mesh": full_mesh,
    "rendezvous, 4 chosen": rendezvous_top(4),
    "rendezvous, 8 chosen": rendezvous_top(8),
    "rendezvous, 4 near and 4 far": rendezvous_near_and_far(8),
    "rendezvous, 3 near and 3 far": rendezvous_near_and_far(6),
    "XOR buckets, 1 each": xor_buckets(1, region_first=False),
    "XOR buckets, 2 each": xor_buckets(2, region_first=False),
    "XOR buckets, region first, 1 each": xor_buckets(1, region_first=True),
}


def main() -> None:
    """Run all measurements and print the tables."""
    console = Console(width=150)
    print_fits(_mesh_fits(), title="Mesh member (one host, idle peers)", console=console)
    console.print(f"One ask received over a WebSocket: {measure_receive_us():.1f} us")
    print_fits(_routing_fits(), title="Entry and pool owner", console=console)
    print_fits(_spread_fits(), title="Declarations follower in a full mesh", console=console)
    print_fits(_poll_fits(), title="Pool owner: reading engines", console=console)
    _print_strategies(console)


def _mesh_fits() -> list[Fit]:
    costs = [measure_connections(number) for number in CONNECTION_COUNTS]
    columns = {
        "CPU, ms/s": [each.cpu_ms_per_s for each in costs],
        "sent in frames, B/s": [each.sent_bytes_per_s for each in costs],
        "messages, 1/s": [each.messages_per_s for each in costs],
        "memory, KiB": [each.memory_kib for each in costs],
    }
    return [
        fit(
            name=name,
            size_name="connection",
            sizes=CONNECTION_COUNTS,
            values=values,
            target=TARGET_HOST_COUNT - 1,
        )
        for name, values in columns.items()
    ]


def _routing_fits() -> list[Fit]:
    costs_by_cell = [measure_placement(engines=number, running=100) for number in CELL_SIZES]
    costs_by_running = [measure_placement(engines=16, running=number) for number in RUNNING_SIZES]
    return [
        fit(
            name="placement, both hosts, CPU us",
            size_name="engine of the cell",
            sizes=CELL_SIZES,
            values=[each.cpu_us for each in costs_by_cell],
            target=TARGET_CELL_ENGINES,
        ),
        fit(
            name="placement, both hosts, CPU us",
            size_name="running generation",
            sizes=RUNNING_SIZES,
            values=[each.cpu_us for each in costs_by_running],
            target=TARGET_RUNNING_PER_HOST,
        ),
        fit(
            name="placement, frames, B",
            size_name="engine of the cell",
            sizes=CELL_SIZES,
            values=[each.frame_bytes for each in costs_by_cell],
            target=TARGET_CELL_ENGINES,
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
            values=measure_sizes(RUNNING_SIZES, progress_bytes),
            target=TARGET_RUNNING_PER_HOST,
        ),
        fit(
            name="entry and ledger together, KiB",
            size_name="placement",
            sizes=LEDGER_SIZES,
            values=measure_sizes(LEDGER_SIZES, measure_ledger_kib),
            target=TARGET_RUNNING_PER_HOST,
        ),
    ]


def _spread_fits() -> list[Fit]:
    costs = [measure_spread(number) for number in MESH_SIZES]
    columns = {
        "time until the last host has a change, ms": [each.spread_ms for each in costs],
        "one change at one host, CPU ms": [each.host_cpu_ms for each in costs],
        "one change, messages a host sends": [each.host_messages for each in costs],
        "one change, frames a host sends, B": [each.host_bytes for each in costs],
    }
    return [
        fit(name=name, size_name="host", sizes=MESH_SIZES, values=values, target=TARGET_HOST_COUNT)
        for name, values in columns.items()
    ]


def _poll_fits() -> list[Fit]:
    costs = [measure_poll(number) for number in ENGINE_COUNTS]
    columns = {
        "one read of load and cache events, CPU us": [each.cpu_us for each in costs],
        "one read of load and cache events, HTTP B": [each.wire_bytes for each in costs],
    }
    return [
        fit(
            name=name,
            size_name="engine read at once",
            sizes=ENGINE_COUNTS,
            values=values,
            target=TARGET_CELL_ENGINES,
        )
        for name, values in columns.items()
    ]


def _print_strategies(console: Console) -> None:
    rows = []
    for name, strategy in STRATEGIES.items():
        properties = evaluate_strategy(strategy)
        rows.append(
            [
                name,
                f"{properties.degree:.1f} / {properties.max_degree}",
                f"{properties.heartbeat_bytes_per_s:.0f}",
                f"{properties.change_bytes_per_s:.0f}",
                f"{properties.spread_ms:.0f}",
                f"{properties.lost_domain_ms:.0f} ({properties.lost_domain_reached:.3f})",
                f"{properties.partition_connected:.2f}",
                f"{properties.heal_ms:.0f}",
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
