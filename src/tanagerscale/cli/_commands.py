"""The commands, as fire shows them; each method's docstring is its help."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from typing import final

from tanagerscale.cli._apply import run_apply
from tanagerscale.cli._apply import run_audit
from tanagerscale.cli._apply import run_diff
from tanagerscale.cli._arguments import check_author
from tanagerscale.cli._arguments import check_count
from tanagerscale.cli._arguments import check_flag
from tanagerscale.cli._arguments import check_hosts
from tanagerscale.cli._arguments import check_number
from tanagerscale.cli._arguments import check_prefix
from tanagerscale.cli._arguments import check_store
from tanagerscale.cli._ask import Question
from tanagerscale.cli._ask import run_ask
from tanagerscale.cli._explain import STANDARD_INPUT
from tanagerscale.cli._explain import run_explain
from tanagerscale.cli._local import run_key
from tanagerscale.cli._local import run_validate
from tanagerscale.cli._output import Output
from tanagerscale.cli._replay import run_replay
from tanagerscale.cli._status import run_status
from tanagerscale.cli._status import run_usage
from tanagerscale.core import MS_PER_SECOND

DEFAULT_PREFIX = "/tanagerscale"
DEFAULT_WAIT_S = 60
DEFAULT_RECORDS = 20


@final
class Job:
    """What a command is to do, once fire has understood the whole command line.

    Fire looks at arguments that are left over only after a command has returned, so a command
    that did its work at once would do it in spite of a mistyped flag.

    :param work: Does it.
    """

    def __init__(self, work: Callable[[], None]) -> None:
        self._work = work


def do_job(*, job: object) -> None:
    """Do a job; what fire returns after showing help is none."""
    if isinstance(job, Job):
        job._work()


@final
class Commands:
    """Serve language models on crowded engines; see docs/OPERATIONS.md for each command."""

    def validate(self, *files: str, json: Any = False) -> Job:
        """Check files of declarations without applying them.

        :param files: INI files, or directories that hold them; they are checked as one set.
        :param json: Print one JSON document.
        """
        return Job(lambda: asyncio.run(run_validate(files=files, output=_output(json))))

    def diff(
        self, *files: str, store: str = "", prefix: str = DEFAULT_PREFIX, json: Any = False
    ) -> Job:
        """Show what applying the files would change.

        :param files: INI files, or directories that hold them.
        :param store: Base URLs of the store, separated by commas.
        :param prefix: What all keys of the installation start with.
        :param json: Print one JSON document.
        """
        output = _output(json)
        endpoints = check_store(store=store)
        prefix = check_prefix(prefix=prefix)
        return Job(
            lambda: asyncio.run(
                run_diff(files=files, endpoints=endpoints, prefix=prefix, output=output)
            )
        )

    def apply(
        self,
        *files: str,
        store: str = "",
        author: str = "",
        hosts: str = "",
        timeout: Any = DEFAULT_WAIT_S,
        expect: Any = "",
        apply_id: str = "",
        prefix: str = DEFAULT_PREFIX,
        json: Any = False,
    ) -> Job:
        """Apply the files as one set and wait until they are in force.

        :param files: INI files, or directories that hold them.
        :param store: Base URLs of the store, separated by commas.
        :param author: Who applies; the login's name by default.
        :param hosts: Callers' addresses of all hosts, separated by commas; without, don't wait.
        :param timeout: How long to wait for the hosts, in seconds.
        :param expect: Revision that the files were made from; refuse when another is accepted.
        :param apply_id: The id of an earlier try whose outcome is uncertain.
        :param prefix: What all keys of the installation start with.
        :param json: Print one JSON document.
        """
        output = _output(json)
        endpoints = check_store(store=store)
        prefix = check_prefix(prefix=prefix)
        addresses = check_hosts(hosts=hosts, required=False)
        wait_s = check_number(name="timeout", value=timeout, least=0)
        expected = check_count(name="expect", value=expect, least=0) if expect else None
        author = check_author(author=author)
        return Job(
            lambda: asyncio.run(
                run_apply(
                    files=files,
                    endpoints=endpoints,
                    prefix=prefix,
                    author=author,
                    apply_id=apply_id,
                    expected=expected,
                    hosts=addresses,
                    timeout_ms=int(wait_s * MS_PER_SECOND),
                    output=output,
                )
            )
        )

    def status(self, *, hosts: str = "", json: Any = False) -> Job:
        """Show which revision each host has in force and whether it is ready.

        :param hosts: Callers' addresses of the hosts, separated by commas.
        :param json: Print one JSON document.
        """
        addresses = check_hosts(hosts=hosts, required=True)
        return Job(lambda: asyncio.run(run_status(hosts=addresses, output=_output(json))))

    def audit(
        self,
        *,
        store: str = "",
        last: Any = DEFAULT_RECORDS,
        prefix: str = DEFAULT_PREFIX,
        json: Any = False,
    ) -> Job:
        """Show who applied what, when, from which revision, and what it changed.

        :param store: Base URLs of the store, separated by commas.
        :param last: How many revisions to show.
        :param prefix: What all keys of the installation start with.
        :param json: Print one JSON document.
        """
        endpoints = check_store(store=store)
        prefix = check_prefix(prefix=prefix)
        number = check_count(name="last", value=last, least=1)
        return Job(
            lambda: asyncio.run(
                run_audit(endpoints=endpoints, prefix=prefix, last=number, output=_output(json))
            )
        )

    def usage(self, *, hosts: str = "", json: Any = False) -> Job:
        """Show what each client account used, added up over the hosts.

        :param hosts: Callers' addresses of all hosts, separated by commas.
        :param json: Print one JSON document.
        """
        addresses = check_hosts(hosts=hosts, required=True)
        return Job(lambda: asyncio.run(run_usage(hosts=addresses, output=_output(json))))

    def ask(
        self,
        prompt: str,
        *,
        hosts: str = "",
        model: str = "",
        adapter: str = "",
        key: str = "",
        key_file: str = "",
        max_tokens: Any = 0,
        json: Any = False,
    ) -> Job:
        """Send a prompt and print the answer as it comes, going on after a break.

        :param prompt: The prompt; a hyphen reads it from standard input.
        :param hosts: Callers' addresses of hosts to try, separated by commas.
        :param model: Declared model.
        :param adapter: Declared adapter.
        :param key: The account's key; better in a file or in TANAGERSCALE_KEY.
        :param key_file: File that holds the account's key.
        :param max_tokens: Longest answer; 0 takes the model's limit.
        :param json: Print one JSON document at the end.
        """
        question = Question(
            prompt=prompt,
            hosts=check_hosts(hosts=hosts, required=True),
            model=model,
            adapter=adapter,
            key=key,
            key_file=key_file,
            max_tokens=check_count(name="max-tokens", value=max_tokens, least=0),
        )
        return Job(lambda: asyncio.run(run_ask(question=question, output=_output(json))))

    def replay(self, trace: str, **options: Any) -> Job:
        """Run a trace in virtual time and print the measures next to the stated outcomes.

        :param trace: File of JSON lines, or the name of a user whose traces are made.
        :param options: Such as --policy NAME, --seed N, --json and --plot FILE.
        """
        return Job(lambda: run_replay(trace=trace, options=options))

    def explain(self, request: str, *files: str, json: Any = False) -> Job:
        """Tell what became of a request and why, from the logs of the hosts.

        :param request: The request's id.
        :param files: Log files of all hosts; a hyphen reads standard input.
        :param json: Print one JSON document.
        """
        chosen = tuple(str(file) for file in files) or (STANDARD_INPUT,)
        return Job(lambda: run_explain(request=str(request), files=chosen, output=_output(json)))

    def key(self, account: str, *, json: Any = False) -> Job:
        """Make a random key for a client account and the hash that is declared.

        :param account: The account's name.
        :param json: Print one JSON document.
        """
        return Job(lambda: asyncio.run(run_key(account=account, output=_output(json))))


def _output(json: Any) -> Output:
    return Output(as_json=check_flag(name="json", value=json))
