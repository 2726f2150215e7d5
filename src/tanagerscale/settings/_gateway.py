"""Settings of a host that forwards by routes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from returns.result import Result

from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.ini import IniSection
from tanagerscale.ini import InputError
from tanagerscale.ini import address_problem
from tanagerscale.settings._sections import read_struct


def read_gateway_settings(*, path: Path) -> Result[GatewaySettings, tuple[InputError, ...]]:
    """Read the settings of one host that forwards by routes.

    :param path: INI file; its section names are the properties of ``GatewaySettings``.
    :returns: The settings, or everything that is wrong with them.
    """
    return read_struct(path=path, struct=GatewaySettings, check=_check)


def _check(section: IniSection, values: dict[str, Any]) -> list[InputError]:
    match section.title:
        case "host":
            keys = ("callers", "readiness", "peers", "metrics")
            errors = _check_addresses(section, values, keys)
            for seed in values.get("seeds", []):
                problem = address_problem(address=seed)
                if problem:
                    errors.append(section.error(key="seeds", found=seed, allowed=problem))
            return errors
        case "store":
            return _check_addresses(section, values, ("address",))
    return []


def _check_addresses(
    section: IniSection, values: dict[str, Any], keys: tuple[str, ...]
) -> list[InputError]:
    errors = []
    for key in keys:
        address = values.get(key)
        problem = address and address_problem(address=address, port_zero=True)
        if problem:
            errors.append(section.error(key=key, found=address or "", allowed=problem))
    return errors
