"""The command that replays traces."""

from __future__ import annotations

import importlib
import inspect
import sys
from typing import Any

from tanagerscale.cli._arguments import check_flag
from tanagerscale.cli._arguments import check_number
from tanagerscale.cli._exit import ExitCode
from tanagerscale.cli._exit import fail

ALIASES = {"seed": "seeds"}


def run_replay(*, trace: str, options: dict[str, Any]) -> None:
    """Hand the options to the replay once they are known to be its own.

    :param trace: What to replay.
    :param options: Options by name, as fire read them.
    :raises SystemExit: With the replay's own exit code unless all is well.
    """
    # The replay is large and no other command needs it.
    module: Any = importlib.import_module("tanagerscale.replay")
    defaults = {
        name: parameter.default
        for name, parameter in inspect.signature(module.main).parameters.items()
        if parameter.default is not inspect.Parameter.empty
    }
    arguments = {}
    for given, value in options.items():
        name = ALIASES.get(given, given)
        if name not in defaults:
            known = ", ".join(f"--{option}" for option in defaults)
            fail(code=ExitCode.BAD_INPUT, message=f"--{given} isn't an option; allowed: {known}.")
        arguments[name] = _convert(name=name, value=value, default=defaults[name])
    code = module.main(trace=str(trace), **arguments)
    if code:
        sys.exit(code)


def _convert(*, name: str, value: Any, default: Any) -> Any:
    if isinstance(default, bool):
        return check_flag(name=name, value=value)
    if isinstance(default, int | float):
        return type(default)(check_number(name=name, value=value, least=0))
    if isinstance(value, tuple | list):
        return ",".join(str(part) for part in value)
    return str(value)
