"""Entry point: hands the command line to fire and turns errors into exit codes."""

from __future__ import annotations

from collections.abc import Sequence
import os
import sys

import fire
from fire import parser

from tanagerscale.cli._commands import Commands
from tanagerscale.cli._commands import do_job
from tanagerscale.cli._exit import CommandError
from tanagerscale.cli._exit import ExitCode

NAME = "tanagerscale"
FIRE_FLAGS = "--"
FIRE_SEPARATOR = "-"
SHORT_HELP = ("-h",)
# Its options are numbers, and it reads them itself.
REPLAY = "replay"


def main(argv: Sequence[str] | None = None) -> None:
    """Run the command line.

    :param argv: Arguments after the program's name; those of the process by default.
    :raises SystemExit: With one of ``ExitCode`` unless all is well.
    """
    # Help goes to standard output as it is; a pager would be a program of its own.
    os.environ.setdefault("PAGER", "cat")
    arguments = list(sys.argv[1:] if argv is None else argv) or ["--help"]
    try:
        job = fire.Fire(Commands(), command=_quote(arguments), name=NAME, serialize=_print_nothing)
        do_job(job=job)
    except CommandError as error:
        for line in (*error.details, error.message):
            print(line, file=sys.stderr)
        sys.exit(error.code)
    except KeyboardInterrupt:
        print("Interrupted; what was accepted before stays accepted.", file=sys.stderr)
        sys.exit(ExitCode.INTERRUPTED)
    except BrokenPipeError:
        # The reader of the output has gone; there is nobody left to tell.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(ExitCode.OK)


def _quote(arguments: Sequence[str]) -> list[str]:
    """Quote values, for fire reads them as Python, in which 1.10 becomes 1.1."""
    command, *rest = arguments
    if command == REPLAY:
        return list(arguments)
    quoted = [command]
    for number, argument in enumerate(rest):
        if argument == FIRE_FLAGS:
            return [*quoted, *rest[number:]]
        name, equals, value = argument.partition("=")
        if argument.startswith("--"):
            quoted.append(f"{name}={_quote_one(value)}" if equals else argument)
        else:
            quoted.append(argument if argument in SHORT_HELP else _quote_one(argument))
    return quoted


def _quote_one(value: str) -> str:
    is_separator = value == FIRE_SEPARATOR
    return repr(value) if is_separator or parser.DefaultParseValue(value) != value else value


def _print_nothing(_result: object) -> None:
    """Keep fire from printing what a command returns."""
