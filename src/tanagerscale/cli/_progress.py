"""Waiting until a revision is in force on all hosts."""

from __future__ import annotations

from collections.abc import Sequence

from tanagerscale.cli._exit import ExitCode
from tanagerscale.cli._exit import fail
from tanagerscale.cli._hosts import HostAnswer
from tanagerscale.cli._hosts import ask_status
from tanagerscale.cli._hosts import open_session
from tanagerscale.cli._output import Output
from tanagerscale.core import Clock
from tanagerscale.generated.records import Head

POLL_MS = 250


async def wait_in_force(
    *, head: Head, hosts: tuple[str, ...], timeout_ms: int, clock: Clock, output: Output
) -> list[str]:
    """Ask the hosts until all have a revision in force.

    :param head: What was accepted.
    :param hosts: Callers' addresses of the hosts.
    :param timeout_ms: How long to go on.
    :returns: The ids of the hosts.
    :raises CommandError: When some host does not report it in time, or was not asked.
    """
    deadline = clock.now() + timeout_ms
    shown = -1
    async with open_session() as session:
        while True:
            answers = await ask_status(session=session, hosts=hosts)
            behind = [answer for answer in answers if not _has(answer=answer, head=head)]
            done = len(answers) - len(behind)
            if done != shown:
                output.progress(f"In force on {done} of {len(answers)} hosts.")
                shown = done
            if not behind:
                break
            if clock.now() >= deadline:
                _fail_behind(head=head, behind=behind, timeout_ms=timeout_ms)
            await clock.sleep(POLL_MS)
    _check_all_asked(head=head, answers=answers)
    return [answer.status.host for answer in answers if answer.status is not None]


def _has(*, answer: HostAnswer, head: Head) -> bool:
    status = answer.status
    if status is None:
        return False
    if status.revision == head.revision:
        return not head.digest or status.digest in ("", head.digest)
    return status.revision > head.revision


def _fail_behind(*, head: Head, behind: Sequence[HostAnswer], timeout_ms: int) -> None:
    message = (
        f"Revision {head.revision} is accepted and stays so, but {len(behind)} hosts did not "
        f"report it in {timeout_ms} ms; ask again with 'tanagerscale status', and restart or "
        "remove hosts that stay behind."
    )
    details = tuple(f"{answer.address}: {_describe(answer)}" for answer in behind)
    fail(code=ExitCode.NOT_IN_FORCE, message=message, details=details)


def _describe(answer: HostAnswer) -> str:
    if answer.status is None:
        return answer.problem
    return f"host {answer.status.host} has revision {answer.status.revision}"


def _check_all_asked(*, head: Head, answers: Sequence[HostAnswer]) -> None:
    statuses = [answer.status for answer in answers if answer.status is not None]
    asked = {status.host for status in statuses}
    missing = sorted({host for status in statuses for host in status.live_hosts} - asked)
    if missing:
        message = (
            f"Revision {head.revision} is in force on all hosts asked, but there are others; "
            "name their addresses in --hosts too, or ask them with 'tanagerscale status'."
        )
        details = tuple(f"host {host} was not asked" for host in missing)
        fail(code=ExitCode.NOT_IN_FORCE, message=message, details=details)
