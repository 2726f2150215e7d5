"""Reading declarations: errors are reported with their location and no input raises."""

from __future__ import annotations

from pathlib import Path

from argon2 import PasswordHasher
from hypothesis import given
from hypothesis import strategies as st
import pytest
from returns.result import Failure
from returns.result import Success

from tanagerscale.declarations import read_declarations
from tanagerscale.generated.declarations import Delivery
from tanagerscale.generated.declarations import Fencing
from tanagerscale.ini import InputError
from testing._random_cases import random_case_settings

EXAMPLES = Path(__file__).parent.parent / "examples"
HASH = PasswordHasher(time_cost=1, memory_cost=8, parallelism=1).hash("crews.secret")
VALID = f"""
[objective]
stall_weight = 2.5
[model plan]
version = 1.10
delivery = whole
[adapter facades]
model = plan
version = 3
[account crews]
key_hash = {HASH}
models = plan
[engine e1]
address = 127.0.0.1:9001
failure_domain = a
models = plan
adapters =
    facades
fencing = ignored   # an older deployment
[service bookings]
addresses = 127.0.0.1:9101@a, 127.0.0.1:9102@b
not_idempotent = POST /bookings, POST /bookings/*
"""


def _read(path: Path, text: str) -> tuple[InputError, ...]:
    path.write_text(text)
    return read_declarations(paths=[path]).swap().value_or(())


def test_values_are_typed_when_the_file_is_valid(tmp_path: Path) -> None:
    file = tmp_path / "all.ini"
    file.write_text(VALID)
    declared = read_declarations(paths=[file]).unwrap()
    assert declared.objective.stall_weight == 2.5
    assert declared.models[0].version == "1.10"
    assert declared.models[0].delivery is Delivery.WHOLE
    assert declared.engines[0].adapters == ["facades"]
    assert declared.engines[0].fencing is Fencing.IGNORED
    assert declared.services[0].not_idempotent == ["POST /bookings", "POST /bookings/*"]


def test_all_errors_are_reported_with_line_section_and_key(tmp_path: Path) -> None:
    text = """stray = 1
[objective]
stall_weigth = 2
stall_weight = much
[modle plan]
[account crews]
key_hash = crews.the-key-itself
priority = hurry
weight = nan
models = plan
models = q
[engine e1]
adress = 127.0.0.1:9001
max_batch = 0
[engine e1]
garbage
[DEFAULT]
"""
    errors = _read(tmp_path / "bad.ini", text)
    locations = [(error.line, error.section, error.key, error.suggestion) for error in errors]
    assert locations == [
        (0, "", "", ""),
        (1, "", "", ""),
        (3, "objective", "stall_weigth", "stall_weight"),
        (4, "objective", "stall_weight", ""),
        (5, "modle plan", "", "model"),
        (8, "account crews", "priority", ""),
        (9, "account crews", "weight", ""),
        (11, "account crews", "models", ""),
        (12, "engine e1", "failure_domain", ""),
        (12, "engine e1", "models", ""),
        (13, "engine e1", "adress", "address"),
        (14, "engine e1", "max_batch", ""),
        (15, "engine e1", "", ""),
        (16, "", "", ""),
        (17, "DEFAULT", "", ""),
    ]
    assert all(str(error).startswith(f"{tmp_path / 'bad.ini'}:") for error in errors)
    assert all(error.allowed for error in errors)


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("model = plan", "model = plam", "model"),
        ("models = plan\n[engine", "models = paln\n[engine", "models"),
        ("address = 127.0.0.1:9001", "address = 127.0.0.1:99999", "address"),
        ("address = 127.0.0.1:9001", "address = 127.0.0.1:9101", "addresses"),
        ("127.0.0.1:9102@b", "127.0.0.1:9101@b", "addresses"),
        ("127.0.0.1:9102@b", "localhost:9102@b", "addresses"),
        ("POST /bookings,", "/bookings,", "not_idempotent"),
        pytest.param(HASH, "crews.the-key-itself", "key_hash", id="key"),
        pytest.param(HASH, HASH.replace("m=8", "m=8000000"), "key_hash", id="costly-hash"),
        ("version = 1.10", "version = 1.10\ncontext_tokens = 10", "max_output_tokens"),
        pytest.param(
            "[engine e1]",
            f"[account chiefs]\nkey_hash = {HASH}\n[engine e1]",
            "key_hash",
            id="same-hash-twice",
        ),
        ("[model plan]", "[model other]\nversion = 1\n[model plan]", ""),
        ("[adapter facades]", "[adapter plan]\nmodel = plan\nversion = 1\n[adapter facades]", ""),
    ],
)
def test_set_is_refused_when_its_sections_are_inconsistent(
    tmp_path: Path, old: str, new: str, key: str
) -> None:
    assert old in VALID
    errors = _read(tmp_path / "all.ini", VALID.replace(old, new, 1))
    assert [error.key for error in errors] == [key]
    assert errors[0].line > 0
    assert "the-key-itself" not in str(errors[0])


def test_section_is_refused_when_another_file_also_contains_it(tmp_path: Path) -> None:
    (tmp_path / "a.ini").write_text(VALID)
    (tmp_path / "b.ini").write_text("[objective]\n")
    [error] = read_declarations(paths=[tmp_path]).failure()
    assert error.file == tmp_path / "b.ini"
    assert f"{tmp_path / 'a.ini'}:2" in error.allowed


@pytest.mark.parametrize("kind", ["missing", "directory", "binary"])
def test_file_is_refused_when_it_cannot_be_read(tmp_path: Path, kind: str) -> None:
    path = tmp_path / "x.ini"
    if kind == "binary":
        path.write_bytes(b"[objective]\n\xff\xfe")
    elif kind == "directory":
        path.mkdir()
    errors = read_declarations(paths=[path]).failure()
    assert errors[0].file == path


LINES = st.sampled_from(
    [
        *VALID.splitlines(),
        "[engine",
        "[]",
        "[engine ]",
        "  continued",
        "= 1",
        ":",
        "key",
        "\t[model x]",
        "#",
        "weight = inf",
        "weight = 9e999",
        "claim_ttl_s = 99999999999999999999999",
        "addresses = [::1]:1@a, :0, @",
        "\x00",
        "[\x00]",
        "[account é]",
    ]
)


@random_case_settings(examples=150)
@given(lines=st.lists(st.one_of(LINES, st.text(max_size=30)), max_size=30))
def test_reader_returns_a_result_for_arbitrary_files(tmp_path: Path, lines: list[str]) -> None:
    file = tmp_path / "fuzz.ini"
    file.write_bytes("\n".join(lines).encode("utf-8", "surrogatepass"))
    result = read_declarations(paths=[file])
    if isinstance(result, Failure):
        assert all(str(error) for error in result.failure())
    else:
        assert isinstance(result, Success)


@pytest.mark.parametrize("name", ["annexe-technique", "call-sheet-tender"])
def test_example_declarations_are_valid(name: str) -> None:
    declared = read_declarations(paths=[EXAMPLES / name / "declarations"]).unwrap()
    keys = dict(
        line.rpartition(".")[::2]
        for line in (EXAMPLES / name / "example-keys.txt").read_text().splitlines()
        if not line.startswith("#")
    )
    assert len(declared.engines) == 5
    assert sorted(account.name for account in declared.accounts) == sorted(keys)
    account = declared.accounts[0]
    PasswordHasher().verify(account.key_hash, f"{account.name}.{keys[account.name]}")
