"""The ``validate`` and ``key`` commands, which need neither the store nor a host."""

from __future__ import annotations

from tanagerscale.accounts import generate_key
from tanagerscale.cli._arguments import load_declarations
from tanagerscale.cli._exit import ExitCode
from tanagerscale.cli._exit import fail
from tanagerscale.cli._output import Output
from tanagerscale.declarations import check_name
from tanagerscale.declarations import encode_sections


async def run_validate(*, files: tuple[str, ...], output: Output) -> None:
    """Validate files and print the number of sections of each kind.

    :raises CommandError: When a file is invalid; it lists all errors.
    """
    declarations = load_declarations(files=files)
    counts: dict[str, int] = {}
    for title in encode_sections(declarations=declarations):
        kind = title.partition(" ")[0]
        counts[kind] = counts.get(kind, 0) + 1
    output.table(columns=("section", "count"), rows=list(counts.items()))
    output.line("The declarations are valid.")
    output.document({"valid": True, "sections": counts})


async def run_key(*, account: str, output: Output) -> None:
    """Generate a key for a client account and print it with its hash.

    :raises CommandError: When the account's name is invalid.
    """
    problem = check_name(name=account)
    if problem:
        fail(code=ExitCode.BAD_INPUT, message=f"ACCOUNT takes {problem}; found {account!r}.")
    generated = generate_key(account=account)
    output.line(f"Key for the caller, kept nowhere else:\n{generated.key}\n")
    output.line(f"For the declarations:\n[account {account}]\nkey_hash = {generated.key_hash}")
    output.document({"account": account, "key": generated.key, "key_hash": generated.key_hash})
