"""Polls hosts until a revision is in force on all of them."""

from __future__ import annotations

from collections.abc import Sequence

from tanagerscale.cli._exit import ExitCode
from tanagerscale.cli._exit import fail
from tanagerscale.cli._hosts import HostReply
from tanagerscale.cli._hosts import fetch_statuses
from tanagerscale.cli._hosts import open_session
from tanagerscale.cli._output import Output
from tanagerscale.core import Clock
from tanagerscale.generated.records import Head

POLL_INTERVAL_MS = 250


async def wait_until_in_force(
    *, head: Head, hosts: tuple[str, ...], timeout_ms: int, clock: Clock, output: Output
) -> list[str]:
    """Poll the hosts until all of them have a revision in force.

    :param head: Head record of the accepted revision.
    :param hosts: Callers' addresses of the hosts.
    :param timeout_ms: Maximum time to poll, in milliseconds; the hosts are polled at least once.
    :returns: Ids of the hosts.
    :raises CommandError: When a host does not report the revision in time, or when the hosts know
        of another live host that is not among ``hosts``.
    """
    deadline = clock.now() + timeout_ms
    reported = -1
    async with open_session() as session:
        while True:
            replies = await fetch_statuses(session=session, hosts=hosts)
            pending = [reply for reply in replies if not _is_in_force(reply=reply, head=head)]
            done = len(replies) - len(pending)
            if done != reported:
                output.progress(f"In force on {done} of {len(replies)} hosts.")
                reported = done
            if not pending:
                break
            if clock.now() >= deadline:
                _fail_pending(head=head, pending=pending, timeout_ms=timeout_ms)
            await clock.sleep(POLL_INTERVAL_MS)
    _check_all_queried(head=head, replies=replies)
    return [reply.status.host for reply in replies if reply.status is not None]


def _is_in_force(*, reply: HostReply, head: Head) -> bool:
    status = reply.status
    if status is None:
        return False
    if status.revision == head.revision:
        return not head.digest or status.digest in ("", head.digest)
    return status.revision > head.revision


def _fail_pending(*, head: Head, pending: Sequence[HostReply], timeout_ms: int) -> None:
    message = (
        f"Revision {head.revision} is accepted and stays so, but {len(pending)} hosts did not "
        f"report it in {timeout_ms} ms; check again with 'tanagerscale status', and restart or "
        "remove hosts that keep an older revision."
    )
    details = tuple(f"{reply.address}: {_describe(reply)}" for reply in pending)
    fail(code=ExitCode.NOT_IN_FORCE, message=message, details=details)


def _describe(reply: HostReply) -> str:
    if reply.status is None:
        return reply.problem
    return f"host {reply.status.host} has revision {reply.status.revision}"


def _check_all_queried(*, head: Head, replies: Sequence[HostReply]) -> None:
    statuses = [reply.status for reply in replies if reply.status is not None]
    queried = {status.host for status in statuses}
    missing = sorted({host for status in statuses for host in status.live_hosts} - queried)
    if missing:
        message = (
            f"Revision {head.revision} is in force on all hosts given, but other hosts are live; "
            "add their addresses to --hosts, or check them with 'tanagerscale status'."
        )
        details = tuple(f"host {host} was not asked" for host in missing)
        fail(code=ExitCode.NOT_IN_FORCE, message=message, details=details)
