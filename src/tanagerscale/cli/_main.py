"""Entry point that passes the command line to fire and maps errors to exit codes."""

from __future__ import annotations

from collections.abc import Sequence
import os
import sys

import fire
from fire import parser

from tanagerscale.cli._commands import Commands
from tanagerscale.cli._commands import run_deferred
from tanagerscale.cli._exit import CommandError
from tanagerscale.cli._exit import ExitCode

PROGRAM_NAME = "tanagerscale"
FIRE_FLAGS = "--"
FIRE_SEPARATOR = "-"
SHORT_HELP_FLAGS = ("-h",)
# The replay converts its options itself, and most of them are numbers.
REPLAY_COMMAND = "replay"


def main(argv: Sequence[str] | None = None) -> None:
    """Run the command line.

    :param argv: Arguments after the program name; ``None`` uses those of the process.
    :raises SystemExit: With a member of ``ExitCode``, unless the command succeeds.
    """
    # Print help directly to standard output; a pager would be a separate program.
    os.environ.setdefault("PAGER", "cat")
    arguments = list(sys.argv[1:] if argv is None else argv) or ["--help"]
    try:
        result = fire.Fire(
            Commands(),
            command=_quote_arguments(arguments),
            name=PROGRAM_NAME,
            serialize=_discard_result,
        )
        run_deferred(command=result)
    except CommandError as error:
        for line in (*error.details, error.message):
            print(line, file=sys.stderr)
        sys.exit(error.code)
    except KeyboardInterrupt:
        print("Interrupted; a revision that was already accepted stays accepted.", file=sys.stderr)
        sys.exit(ExitCode.INTERRUPTED)
    except BrokenPipeError:
        # The reader of the output has closed the pipe, so the rest of the output is discarded.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(ExitCode.OK)


def _quote_arguments(arguments: Sequence[str]) -> list[str]:
    """Quote argument values, because fire parses them as Python literals: 1.10 becomes 1.1."""
    command, *rest = arguments
    if command == REPLAY_COMMAND:
        return list(arguments)
    quoted = [command]
    for number, argument in enumerate(rest):
        if argument == FIRE_FLAGS:
            return [*quoted, *rest[number:]]
        name, equals, value = argument.partition("=")
        if argument.startswith("--"):
            quoted.append(f"{name}={_quote_value(value)}" if equals else argument)
        else:
            quoted.append(argument if argument in SHORT_HELP_FLAGS else _quote_value(argument))
    return quoted


def _quote_value(value: str) -> str:
    is_separator = value == FIRE_SEPARATOR
    return repr(value) if is_separator or parser.DefaultParseValue(value) != value else value


def _discard_result(_result: object) -> None:
    """Prevent fire from printing the return value of a command."""
