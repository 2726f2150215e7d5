"""The ``diff``, ``apply`` and ``audit`` commands, which access the accepted declarations."""

from __future__ import annotations

import time
from typing import Any

from returns.result import Failure

from tanagerscale.audit import read_audit
from tanagerscale.cli._arguments import load_declarations
from tanagerscale.cli._exit import ExitCode
from tanagerscale.cli._exit import fail
from tanagerscale.cli._output import Output
from tanagerscale.cli._progress import wait_until_in_force
from tanagerscale.cli._store import open_store
from tanagerscale.cli._store import to_command_error
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Revision
from tanagerscale.core import new_id
from tanagerscale.declarations import AcceptedRevision
from tanagerscale.declarations import Change
from tanagerscale.declarations import diff_sections
from tanagerscale.declarations import encode_sections
from tanagerscale.declarations import publish
from tanagerscale.declarations import read_accepted_revision
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.store import Store

MAX_PRINTED_CHANGES = 200


async def run_diff(
    *, files: tuple[str, ...], endpoints: tuple[str, ...], prefix: str, output: Output
) -> None:
    """Print the changes that applying a set of declarations would make."""
    declarations = load_declarations(files=files)
    async with open_store(endpoints=endpoints, clock=Clock()) as store:
        accepted = await _read_accepted(store=store, prefix=prefix)
    changes = _compute_changes(accepted=accepted, declarations=declarations, output=output)
    _print_changes(changes=changes, output=output)
    output.line(f"{len(changes)} changes to revision {accepted.revision}.")
    document = {"revision": accepted.revision, "changes": [str(change) for change in changes]}
    output.document(document)


async def run_apply(
    *,
    files: tuple[str, ...],
    endpoints: tuple[str, ...],
    prefix: str,
    author: str,
    apply_id: str,
    expected: int | None,
    hosts: tuple[str, ...],
    timeout_ms: int,
    output: Output,
) -> None:
    """Publish a set of declarations and wait until all hosts have it in force.

    :param apply_id: Id of an earlier attempt to repeat, or empty for a new one.
    :param expected: Revision that must be the accepted one; ``None`` means the one just read.
    :param hosts: Addresses of the hosts to wait for; empty means not to wait.
    :param timeout_ms: How long to wait for the hosts, in milliseconds.
    """
    declarations = load_declarations(files=files)
    clock = Clock()
    repeated = bool(apply_id)
    apply_id = apply_id or new_id(prefix="apply")
    async with open_store(endpoints=endpoints, clock=clock) as store:
        accepted = await _read_accepted(store=store, prefix=prefix)
        changes = _compute_changes(accepted=accepted, declarations=declarations, output=output)
        _print_changes(changes=changes, output=output)
        result = await publish(
            store=store,
            prefix=prefix,
            declarations=declarations,
            author=author,
            apply_id=apply_id,
            clock=clock,
            # The printed changes must be the applied ones, so a concurrent change is a conflict.
            expected_revision=Revision(expected) if expected is not None else accepted.revision,
            is_retry=repeated,
        )
    if isinstance(result, Failure):
        raise to_command_error(error=result.failure())
    head = result.unwrap()
    if head.apply_id == apply_id:
        output.line(f"Revision {head.revision} is accepted.")
    else:
        output.line(f"Nothing differs from revision {head.revision}.")
    document: dict[str, Any] = {
        "revision": head.revision,
        "digest": head.digest,
        "apply_id": head.apply_id,
        "changes": [str(change) for change in changes],
        "in_force": [],
    }
    if hosts:
        document["in_force"] = await wait_until_in_force(
            head=head, hosts=hosts, timeout_ms=timeout_ms, clock=clock, output=output
        )
    output.document(document)


async def run_audit(*, endpoints: tuple[str, ...], prefix: str, last: int, output: Output) -> None:
    """Print the latest records of the audit trail.

    :param last: Maximum number of records to print.
    """
    async with open_store(endpoints=endpoints, clock=Clock()) as store:
        accepted = await _read_accepted(store=store, prefix=prefix)
        result = await read_audit(store=store, prefix=prefix, newest=accepted.revision, limit=last)
    if isinstance(result, Failure):
        message = (
            f"The store is unreachable, so the audit trail can't be read; try again: "
            f"{result.failure().detail}"
        )
        fail(code=ExitCode.STORE_UNREACHABLE, message=message)
    records = result.unwrap()
    rows = [
        (
            record.revision,
            _format_wall_time(record.applied_wall_ms),
            record.author,
            record.previous_revision,
            "\n".join(record.changes[:MAX_PRINTED_CHANGES]),
        )
        for record in records
    ]
    output.table(columns=("revision", "when (UTC)", "author", "from", "changes"), rows=rows)
    output.document(list(records))


async def _read_accepted(*, store: Store, prefix: str) -> AcceptedRevision:
    result = await read_accepted_revision(store=store, prefix=prefix)
    if isinstance(result, Failure):
        raise to_command_error(error=result.failure())
    return result.unwrap()


def _compute_changes(
    *, accepted: AcceptedRevision, declarations: DeclarationSet, output: Output
) -> tuple[Change, ...]:
    if accepted.chunked is None:
        output.progress(
            f"Revision {accepted.revision} can't be read completely, so every section is listed "
            "as added; apply rewrites all sections."
        )
    old = accepted.chunked.sections() if accepted.chunked is not None else {}
    changes, _ = diff_sections(old=old, new=encode_sections(declarations=declarations))
    return changes


def _print_changes(*, changes: tuple[Change, ...], output: Output) -> None:
    for change in changes[:MAX_PRINTED_CHANGES]:
        output.line(str(change))
    if len(changes) > MAX_PRINTED_CHANGES:
        output.line(f"and {len(changes) - MAX_PRINTED_CHANGES} more")


def _format_wall_time(wall_ms: int) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(wall_ms / MS_PER_SECOND))
