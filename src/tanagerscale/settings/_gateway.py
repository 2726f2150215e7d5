"""Settings of a host that forwards requests by routes."""

from __future__ import annotations

from pathlib import Path
from typing import Any
from typing import Final

from returns.result import Result

from tanagerscale.core import FailureDomainId
from tanagerscale.core import RegionId
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.ini import IniSection
from tanagerscale.ini import InputError
from tanagerscale.ini import check_address
from tanagerscale.settings._sections import read_struct

REGION_SEPARATOR: Final = ":"


def read_gateway_settings(*, path: Path) -> Result[GatewaySettings, tuple[InputError, ...]]:
    """Read the settings of a host that forwards requests by routes.

    :param path: INI file whose sections are the fields of ``GatewaySettings``.
    :returns: The settings, or all errors in the file.
    """
    return read_struct(path=path, struct=GatewaySettings, check=_check_section)


def get_regions_by_domain(settings: GatewaySettings) -> dict[FailureDomainId, RegionId]:
    """Return the region of each failure domain.

    :param settings: Settings returned by ``read_gateway_settings``.
    """
    pairs = (pair.partition(REGION_SEPARATOR) for pair in settings.host.regions)
    return {
        FailureDomainId(domain.strip()): RegionId(region.strip()) for domain, _, region in pairs
    }


def _check_section(section: IniSection, values: dict[str, Any]) -> list[InputError]:
    match section.title:
        case "host":
            keys = ("callers", "readiness", "peers", "metrics")
            errors = _check_addresses(section, values, keys)
            for seed in values.get("seeds", []):
                problem = check_address(address=seed)
                if problem:
                    errors.append(section.error(key="seeds", found=seed, allowed=problem))
            return errors + _check_regions(section, values)
        case "store":
            return _check_addresses(section, values, ("address",))
    return []


def _check_regions(section: IniSection, values: dict[str, Any]) -> list[InputError]:
    allowed = "pairs of a failure domain and its region, such as a:east"
    return [
        section.error(key="regions", found=pair, allowed=allowed)
        for pair in values.get("regions", [])
        if not all(part.strip() for part in pair.partition(REGION_SEPARATOR))
    ]


def _check_addresses(
    section: IniSection, values: dict[str, Any], keys: tuple[str, ...]
) -> list[InputError]:
    errors = []
    for key in keys:
        address = values.get(key)
        problem = address and check_address(address=address, allow_port_zero=True)
        if problem:
            errors.append(section.error(key=key, found=address or "", allowed=problem))
    return errors
