"""Reads and validates host settings."""

from __future__ import annotations

from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

from returns.result import Failure
from returns.result import Result

from tanagerscale.generated.settings import HostSettings
from tanagerscale.ini import IniSection
from tanagerscale.ini import InputError
from tanagerscale.ini import check_address
from tanagerscale.ini import read_sections
from tanagerscale.settings._sections import read_struct

MIN_CURSOR_KEY_LENGTH = 32


def read_settings(*, path: Path) -> Result[HostSettings, tuple[InputError, ...]]:
    """Read the settings of a host.

    :param path: INI file whose sections are the fields of ``HostSettings``.
    :returns: The settings, or all errors in the file.
    """
    result = read_struct(path=path, struct=HostSettings, check=_check_section)
    errors = result.failure() if isinstance(result, Failure) else ()
    if not any(section.title == "secrets" for section in read_sections(path=path)[0]):
        allowed = f"the section [secrets] with cursor_key or cursor_key_file; {CURSOR_KEY_HINT}"
        errors = (*errors, InputError(file=path, allowed=allowed))
    return Failure(errors) if errors else result


CURSOR_KEY_HINT = (
    f"all hosts of an installation share one key of at least {MIN_CURSOR_KEY_LENGTH} characters"
)


def _check_section(section: IniSection, values: dict[str, Any]) -> list[InputError]:
    match section.title:
        case "host":
            return _check_addresses(section=section, values=values)
        case "store":
            return _check_urls(section=section, urls=values.get("endpoints", []), key="endpoints")
        case "host_list":
            return _check_host_list(section=section, values=values)
        case "tls":
            return _check_tls(section=section, values=values)
        case "secrets":
            return _check_secrets(section=section, values=values)
    return []


def _check_addresses(*, section: IniSection, values: dict[str, Any]) -> list[InputError]:
    errors = []
    for key in ("callers", "peers"):
        problem = key in values and check_address(address=values[key], allow_port_zero=True)
        if problem:
            errors.append(section.error(key=key, found=values[key], allowed=problem))
    return errors


def _check_urls(*, section: IniSection, urls: list[str], key: str) -> list[InputError]:
    allowed = "http or https URLs, such as http://127.0.0.1:2379"
    return [
        section.error(key=key, found=url, allowed=allowed) for url in urls if not _is_http_url(url)
    ]


def _is_http_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        return parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _check_host_list(*, section: IniSection, values: dict[str, Any]) -> list[InputError]:
    url = values.get("url", "")
    errors = _check_urls(section=section, urls=[url] if url else [], key="url")
    for seed in values.get("seeds", []):
        problem = check_address(address=seed)
        if problem:
            errors.append(section.error(key="seeds", found=seed, allowed=problem))
    return errors


def _check_tls(*, section: IniSection, values: dict[str, Any]) -> list[InputError]:
    errors = []
    groups = (
        ("callers_certificate", "callers_key"),
        ("peers_certificate", "peers_key", "peers_ca"),
    )
    for group in groups:
        missing = [key for key in group if not values.get(key)]
        if missing and len(missing) < len(group):
            allowed = f"{', '.join(group)} must be set together or not at all"
            errors.append(section.error(key=missing[0], allowed=allowed))
    for key, file in values.items():
        if file and not Path(file).is_file():
            errors.append(section.error(key=key, found=file, allowed="a file that exists"))
    return errors


def _check_secrets(*, section: IniSection, values: dict[str, Any]) -> list[InputError]:
    key = values.get("cursor_key", "")
    file = values.get("cursor_key_file", "")
    if bool(key) == bool(file):
        allowed = f"either cursor_key or cursor_key_file; {CURSOR_KEY_HINT}"
        return [section.error(key="cursor_key", allowed=allowed)]
    # The value is a secret, so only its length is reported.
    if key and len(key) < MIN_CURSOR_KEY_LENGTH:
        found = f"{len(key)} characters"
        return [section.error(key="cursor_key", found=found, allowed=CURSOR_KEY_HINT)]
    if file and not Path(file).is_file():
        return [section.error(key="cursor_key_file", found=file, allowed="a file that exists")]
    return []
