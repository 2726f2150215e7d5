"""The commands that ask hosts how they are and what accounts used."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from tanagerscale.cli._exit import ExitCode
from tanagerscale.cli._exit import fail
from tanagerscale.cli._hosts import HostAnswer
from tanagerscale.cli._hosts import ask_status
from tanagerscale.cli._hosts import open_session
from tanagerscale.cli._hosts import read_body
from tanagerscale.cli._output import Output

COLUMNS = ("address", "host", "revision", "state", "running", "sees hosts", "closed upstreams")


async def run_status(*, hosts: tuple[str, ...], output: Output) -> None:
    """Print the hosts' status; fail when no host answers."""
    async with open_session() as session:
        answers = await ask_status(session=session, hosts=hosts)
    output.table(columns=COLUMNS, rows=[_row(answer) for answer in answers])
    output.document(
        [
            {"address": answer.address, "status": answer.status, "problem": answer.problem}
            for answer in answers
        ]
    )
    if all(answer.status is None for answer in answers):
        message = "No host answered; check the addresses, or whether the hosts run."
        fail(code=ExitCode.HOST_UNREACHABLE, message=message)


def _row(answer: HostAnswer) -> tuple[object, ...]:
    status = answer.status
    if status is None:
        return (answer.address, "-", "-", answer.problem, "-", "-", "-")
    state = "leaving" if status.leaving else "ready" if status.ready else "starting"
    return (
        answer.address,
        status.host,
        status.revision,
        state,
        status.running,
        len(status.live_hosts),
        ", ".join(status.closed_upstreams) or "none",
    )


async def run_usage(*, hosts: tuple[str, ...], output: Output) -> None:
    """Print what accounts used, added up over the hosts asked."""
    async with open_session() as session:
        bodies = await asyncio.gather(
            *(read_body(session=session, address=host, path="/v1/usage") for host in hosts)
        )
    totals: dict[str, dict[str, float]] = {}
    problems = {}
    for host, (body, problem) in zip(hosts, bodies, strict=True):
        usage = _decode_usage(body) if not problem else None
        if usage is None:
            problems[host] = problem or "its usage can't be read; is it a host?"
            continue
        for account, figures in usage.items():
            total = totals.setdefault(account, {})
            for name, figure in figures.items():
                total[name] = total.get(name, 0) + figure
    _print_usage(totals=totals, problems=problems, output=output)
    if len(problems) == len(hosts):
        message = "No host answered; check the addresses, or whether the hosts run."
        fail(code=ExitCode.HOST_UNREACHABLE, message=message)


def _decode_usage(body: bytes) -> dict[str, dict[str, float]] | None:
    """Return figures by account and name; other fields of the document are left out."""
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
        output.progress(f"{host}: {problem}; its share is missing from the figures")
    output.document({"accounts": totals, "problems": problems})
