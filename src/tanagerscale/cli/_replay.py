"""The ``replay`` command."""

from __future__ import annotations

import importlib
import inspect
import sys
from typing import Any

from tanagerscale.cli._arguments import parse_flag
from tanagerscale.cli._arguments import parse_number
from tanagerscale.cli._exit import ExitCode
from tanagerscale.cli._exit import fail

ALIASES = {"seed": "seeds"}


def run_replay(*, trace: str, options: dict[str, Any]) -> None:
    """Validate the options and run the replay with them.

    :param trace: File of the trace, or the name of a user whose traces are generated.
    :param options: Options by name, as fire parsed them.
    :raises CommandError: When an option is unknown or invalid.
    :raises SystemExit: With the replay's exit code, unless the replay succeeds.
    """
    # Imported here because the replay is large and no other command needs it.
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
            allowed = ", ".join(f"--{option}" for option in defaults)
            fail(
                code=ExitCode.BAD_INPUT,
                message=f"--{given} is not an option of replay; allowed: {allowed}.",
            )
        arguments[name] = _convert_option(name=name, value=value, default=defaults[name])
    code = module.main(trace=str(trace), **arguments)
    if code:
        sys.exit(code)


def _convert_option(*, name: str, value: Any, default: Any) -> Any:
    if isinstance(default, bool):
        return parse_flag(name=name, value=value)
    if isinstance(default, int | float):
        return type(default)(parse_number(name=name, value=value, minimum=0))
    if isinstance(value, tuple | list):
        return ",".join(str(part) for part in value)
    return str(value)
