"""Reading and validating host settings."""

from __future__ import annotations

from pathlib import Path

import pytest

from tanagerscale.settings import read_settings

EXAMPLES = Path(__file__).parent.parent / "examples"
SECRET = "0123456789abcdef0123456789abcdef"
VALID = f"""
[host]
id = h1
failure_domain = a
callers = 127.0.0.1:0
peers = [::1]:7701
[store]
endpoints = http://127.0.0.1:2379
[secrets]
cursor_key = {SECRET}
"""


def test_settings_have_defaults_when_only_required_keys_are_set(tmp_path: Path) -> None:
    file = tmp_path / "host.ini"
    file.write_text(VALID)
    settings = read_settings(path=file).unwrap()
    assert settings.host.callers == "127.0.0.1:0"
    assert settings.store.endpoints == ["http://127.0.0.1:2379"]
    assert settings.limits.body_bytes == 4 * 1024 * 1024


@pytest.mark.parametrize(
    ("old", "new", "section", "key"),
    [
        ("id = h1", "id =", "host", "id"),
        ("id = h1", "idd = h1\nid = h1", "host", "idd"),
        ("callers = 127.0.0.1:0", "callers = example.org:80", "host", "callers"),
        ("peers = [::1]:7701", "peers = ::1", "host", "peers"),
        ("http://127.0.0.1:2379", "127.0.0.1:2379", "store", "endpoints"),
        ("http://127.0.0.1:2379", "http://127.0.0.1:99999", "store", "endpoints"),
        (SECRET, "short-secret", "secrets", "cursor_key"),
        (f"cursor_key = {SECRET}", "", "secrets", "cursor_key"),
        ("[secrets]", "[tls]\npeers_ca = /nowhere\n[secrets]", "tls", "peers_certificate"),
        ("[secrets]", "[log]\nlevel = loud\n[secrets]", "log", "level"),
        ("[secrets]", "[limits]\nbody_bytes = 1\n[secrets]", "limits", "body_bytes"),
        ("[secrets]", "[host_list]\nseeds = 1.2.3.4\n[secrets]", "host_list", "seeds"),
        ("[secrets]", "[hosts]\n[secrets]", "hosts", ""),
    ],
)
def test_settings_are_refused_with_section_and_key(
    tmp_path: Path, old: str, new: str, section: str, key: str
) -> None:
    assert old in VALID
    file = tmp_path / "host.ini"
    file.write_text(VALID.replace(old, new, 1))
    errors = read_settings(path=file).failure()
    assert (errors[0].section, errors[0].key) == (section, key)
    assert errors[0].line > 0
    assert "short-secret" not in str(errors[0])


def test_missing_required_sections_are_named_in_errors(tmp_path: Path) -> None:
    file = tmp_path / "host.ini"
    file.write_text("")
    messages = " ".join(str(error) for error in read_settings(path=file).failure())
    assert all(f"[{name}]" in messages for name in ("host", "store", "secrets"))


def test_example_settings_are_valid() -> None:
    files = sorted(EXAMPLES.glob("*/hosts/*.ini"))
    ids = [read_settings(path=file).unwrap().host.id for file in files]
    assert len(files) == 15
    assert len(set(ids)) == 9
