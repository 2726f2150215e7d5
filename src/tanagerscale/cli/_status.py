"""The ``status`` and ``usage`` commands, which query hosts."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from tanagerscale.cli._exit import ExitCode
from tanagerscale.cli._exit import fail
from tanagerscale.cli._hosts import HostReply
from tanagerscale.cli._hosts import fetch_body
from tanagerscale.cli._hosts import fetch_statuses
from tanagerscale.cli._hosts import open_session
from tanagerscale.cli._output import Output

COLUMNS = ("address", "host", "revision", "state", "running", "sees hosts", "closed upstreams")


async def run_status(*, hosts: tuple[str, ...], output: Output) -> None:
    """Print the status of the hosts.

    :raises CommandError: When no host responds.
    """
    async with open_session() as session:
        replies = await fetch_statuses(session=session, hosts=hosts)
    output.table(columns=COLUMNS, rows=[_to_row(reply) for reply in replies])
    output.document(
        [
            {"address": reply.address, "status": reply.status, "problem": reply.problem}
            for reply in replies
        ]
    )
    if all(reply.status is None for reply in replies):
        message = "No host answered; check the addresses and that the hosts are running."
        fail(code=ExitCode.HOST_UNREACHABLE, message=message)


def _to_row(reply: HostReply) -> tuple[object, ...]:
    status = reply.status
    if status is None:
        return (reply.address, "-", "-", reply.problem, "-", "-", "-")
    state = "leaving" if status.leaving else "ready" if status.ready else "starting"
    return (
        reply.address,
        status.host,
        status.revision,
        state,
        status.running,
        len(status.live_hosts),
        ", ".join(status.closed_upstreams) or "none",
    )


async def run_usage(*, hosts: tuple[str, ...], output: Output) -> None:
    """Print the usage of each client account, summed over the given hosts.

    :raises CommandError: When no host responds.
    """
    async with open_session() as session:
        bodies = await asyncio.gather(
            *(fetch_body(session=session, address=host, path="/v1/usage") for host in hosts)
        )
    totals: dict[str, dict[str, float]] = {}
    problems = {}
    for host, (body, problem) in zip(hosts, bodies, strict=True):
        usage = _decode_usage(body) if not problem else None
        if usage is None:
            problems[host] = (
                problem or "its usage report is invalid; check that the address belongs to a host"
            )
            continue
        for account, figures in usage.items():
            total = totals.setdefault(account, {})
            for name, figure in figures.items():
                total[name] = total.get(name, 0) + figure
    _print_usage(totals=totals, problems=problems, output=output)
    if len(problems) == len(hosts):
        message = "No host answered; check the addresses and that the hosts are running."
        fail(code=ExitCode.HOST_UNREACHABLE, message=message)


def _decode_usage(body: bytes) -> dict[str, dict[str, float]] | None:
    """Return usage figures by account and name, or ``None`` for an invalid document.

    Values that are not numbers are ignored.
    """
    try:
        document = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.MsgspecError:
        return None
    accounts = document.get("accounts", document)
    if not isinstance(accounts, dict):
        return None
    return {
        account: {
            name: float(figure)
            for name, figure in figures.items()
            if isinstance(figure, int | float) and not isinstance(figure, bool)
        }
        for account, figures in accounts.items()
        if isinstance(figures, dict)
    }


def _print_usage(
    *, totals: dict[str, dict[str, float]], problems: dict[str, str], output: Output
) -> None:
    names = list(dict.fromkeys(name for figures in totals.values() for name in figures))
    rows = [
        (account, *(f"{figures.get(name, 0):,.0f}" for name in names))
        for account, figures in sorted(totals.items())
    ]
    columns = ("account", *(name.replace("_", " ") for name in names))
    output.table(columns=columns, rows=rows)
    for host, problem in problems.items():
        output.progress(f"{host}: {problem}; its usage is missing from the totals")
    output.document({"accounts": totals, "problems": problems})
