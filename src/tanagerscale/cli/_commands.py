"""The commands that fire exposes; each method's docstring is the help of its command."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from typing import final

from tanagerscale.cli._apply import run_apply
from tanagerscale.cli._apply import run_audit
from tanagerscale.cli._apply import run_diff
from tanagerscale.cli._arguments import parse_author
from tanagerscale.cli._arguments import parse_endpoints
from tanagerscale.cli._arguments import parse_flag
from tanagerscale.cli._arguments import parse_hosts
from tanagerscale.cli._arguments import parse_integer
from tanagerscale.cli._arguments import parse_number
from tanagerscale.cli._arguments import parse_prefix
from tanagerscale.cli._ask import AskOptions
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
DEFAULT_APPLY_TIMEOUT_S = 60
DEFAULT_AUDIT_RECORDS = 20


@final
class DeferredCommand:
    """Command whose work starts only after fire has parsed the complete command line.

    Fire detects unknown arguments only after a command's method has returned. A method that did
    its work directly would do it in spite of a mistyped flag.

    :param run: Runs the command.
    """

    def __init__(self, run: Callable[[], None]) -> None:
        self._run = run


def run_deferred(*, command: object) -> None:
    """Run a command.

    :param command: Result of fire; after it has shown help this is not a ``DeferredCommand``, and
        nothing is run.
    """
    if isinstance(command, DeferredCommand):
        command._run()


@final
class Commands:
    """Operate and call hosts that serve language models; see docs/OPERATIONS.md for details."""

    def validate(self, *files: str, json: Any = False) -> DeferredCommand:
        """Check declaration files without applying them.

        :param files: INI files, or directories that contain them; they are checked as one set.
        :param json: Print one JSON document.
        """
        return DeferredCommand(lambda: asyncio.run(run_validate(files=files, output=_output(json))))

    def diff(
        self, *files: str, store: str = "", prefix: str = DEFAULT_PREFIX, json: Any = False
    ) -> DeferredCommand:
        """Show the changes that applying the files would make.

        :param files: INI files, or directories that contain them.
        :param store: Base URLs of the store, separated by commas.
        :param prefix: Prefix of the installation's keys in the store.
        :param json: Print one JSON document.
        """
        output = _output(json)
        endpoints = parse_endpoints(store=store)
        prefix = parse_prefix(prefix=prefix)
        return DeferredCommand(
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
        timeout: Any = DEFAULT_APPLY_TIMEOUT_S,
        expect: Any = "",
        apply_id: str = "",
        prefix: str = DEFAULT_PREFIX,
        json: Any = False,
    ) -> DeferredCommand:
        """Apply the files as one set and wait until they are in force.

        :param files: INI files, or directories that contain them.
        :param store: Base URLs of the store, separated by commas.
        :param author: Name to record in the audit trail; the login name by default.
        :param hosts: Callers' addresses of all hosts, separated by commas; if empty, don't wait.
        :param timeout: Maximum time to wait for the hosts, in seconds.
        :param expect: Revision that the files are based on; refuse if another is accepted.
        :param apply_id: Id of an earlier attempt whose outcome is uncertain.
        :param prefix: Prefix of the installation's keys in the store.
        :param json: Print one JSON document.
        """
        output = _output(json)
        endpoints = parse_endpoints(store=store)
        prefix = parse_prefix(prefix=prefix)
        addresses = parse_hosts(hosts=hosts, required=False)
        timeout_s = parse_number(name="timeout", value=timeout, minimum=0)
        expected = parse_integer(name="expect", value=expect, minimum=0) if expect else None
        author = parse_author(author=author)
        return DeferredCommand(
            lambda: asyncio.run(
                run_apply(
                    files=files,
                    endpoints=endpoints,
                    prefix=prefix,
                    author=author,
                    apply_id=apply_id,
                    expected=expected,
                    hosts=addresses,
                    timeout_ms=int(timeout_s * MS_PER_SECOND),
                    output=output,
                )
            )
        )

    def status(self, *, hosts: str = "", json: Any = False) -> DeferredCommand:
        """Show the revision in force and the readiness of each host.

        :param hosts: Callers' addresses of the hosts, separated by commas.
        :param json: Print one JSON document.
        """
        addresses = parse_hosts(hosts=hosts, required=True)
        return DeferredCommand(
            lambda: asyncio.run(run_status(hosts=addresses, output=_output(json)))
        )

    def audit(
        self,
        *,
        store: str = "",
        last: Any = DEFAULT_AUDIT_RECORDS,
        prefix: str = DEFAULT_PREFIX,
        json: Any = False,
    ) -> DeferredCommand:
        """Show the audit trail: author, time, previous revision and changes of each revision.

        :param store: Base URLs of the store, separated by commas.
        :param last: Number of revisions to show.
        :param prefix: Prefix of the installation's keys in the store.
        :param json: Print one JSON document.
        """
        endpoints = parse_endpoints(store=store)
        prefix = parse_prefix(prefix=prefix)
        number = parse_integer(name="last", value=last, minimum=1)
        return DeferredCommand(
            lambda: asyncio.run(
                run_audit(endpoints=endpoints, prefix=prefix, last=number, output=_output(json))
            )
        )

    def usage(self, *, hosts: str = "", json: Any = False) -> DeferredCommand:
        """Show the usage of each client account, summed over the hosts.

        :param hosts: Callers' addresses of all hosts, separated by commas.
        :param json: Print one JSON document.
        """
        addresses = parse_hosts(hosts=hosts, required=True)
        return DeferredCommand(
            lambda: asyncio.run(run_usage(hosts=addresses, output=_output(json)))
        )

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
    ) -> DeferredCommand:
        """Send a prompt and print the answer as it streams, resuming it after a failure.

        :param prompt: The prompt; a hyphen reads it from standard input.
        :param hosts: Callers' addresses of the hosts to try, separated by commas.
        :param model: Name of a declared model.
        :param adapter: Name of a declared adapter; empty for none.
        :param key: The account's key; a file or TANAGERSCALE_KEY is safer.
        :param key_file: File that contains the account's key.
        :param max_tokens: Maximum length of the answer in tokens; 0 means the model's limit.
        :param json: Print one JSON document at the end.
        """
        ask_options = AskOptions(
            prompt=prompt,
            hosts=parse_hosts(hosts=hosts, required=True),
            model=model,
            adapter=adapter,
            key=key,
            key_file=key_file,
            max_tokens=parse_integer(name="max-tokens", value=max_tokens, minimum=0),
        )
        return DeferredCommand(
            lambda: asyncio.run(run_ask(options=ask_options, output=_output(json)))
        )

    def replay(self, trace: str, **options: Any) -> DeferredCommand:
        """Replay a trace in virtual time and print its measures next to the expected outcomes.

        :param trace: File of JSON lines, or the name of a user whose traces are generated.
        :param options: Options such as --policy NAME, --seed N, --json and --plot FILE.
        """
        return DeferredCommand(lambda: run_replay(trace=trace, options=options))

    def explain(self, request: str, *files: str, json: Any = False) -> DeferredCommand:
        """Show what happened to a request and why, from the logs of the hosts.

        :param request: Id of the request.
        :param files: Log files of all hosts; a hyphen reads standard input.
        :param json: Print one JSON document.
        """
        chosen = tuple(str(file) for file in files) or (STANDARD_INPUT,)
        return DeferredCommand(
            lambda: run_explain(request=str(request), files=chosen, output=_output(json))
        )

    def key(self, account: str, *, json: Any = False) -> DeferredCommand:
        """Generate a random key for a client account and the hash to declare.

        :param account: Name of the account.
        :param json: Print one JSON document.
        """
        return DeferredCommand(lambda: asyncio.run(run_key(account=account, output=_output(json))))


def _output(json: Any) -> Output:
    return Output(as_json=parse_flag(name="json", value=json))
