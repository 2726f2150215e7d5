"""INI files of a test cluster: declarations and host settings."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Any

from argon2 import PasswordHasher
import msgspec

from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.settings import HostSettings

# Test keys need no strong hash, and a cheap one saves CPU time on a busy machine.
KEY_HASHER = PasswordHasher(time_cost=1, memory_cost=1_024, parallelism=1)
SECTION_KINDS = {
    "models": "model",
    "adapters": "adapter",
    "accounts": "account",
    "engines": "engine",
    "services": "service",
}


def account_key(account: str) -> str:
    """Return the bearer key of a test account.

    :param account: Name of the account.
    """
    return f"{account}.test-secret-of-{account}"


def account_key_hash(account: str) -> str:
    """Return the salted hash of the bearer key of a test account.

    :param account: Name of the account.
    """
    return KEY_HASHER.hash(account_key(account))


def write_declarations(*, path: Path, declarations: DeclarationSet) -> None:
    """Write a set of declarations as one INI file.

    :param path: File to write.
    :param declarations: Set of declarations.
    """
    lines = _section("objective", declarations.objective)
    for group, kind in SECTION_KINDS.items():
        for item in getattr(declarations, group):
            lines += _section(f"{kind} {item.name}", item, excluded="name")
    path.write_text("\n".join(lines))


def write_settings(*, path: Path, settings: HostSettings) -> None:
    """Write the settings of a host as an INI file.

    :param path: File to write.
    :param settings: Settings of the host.
    """
    lines: list[str] = []
    for section in msgspec.structs.fields(settings):
        lines += _section(section.name, getattr(settings, section.name))
    path.write_text("\n".join(lines))


def _section(title: str, item: msgspec.Struct, *, excluded: str = "") -> list[str]:
    values = {
        field.name: getattr(item, field.name)
        for field in msgspec.structs.fields(item)
        if field.name != excluded and getattr(item, field.name) not in ("", [])
    }
    return [f"[{title}]", *(f"{name} = {_text(value)}" for name, value in values.items()), ""]


def _text(value: Any) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, list):
        return ", ".join(_text(item) for item in value)
    return str(value)
