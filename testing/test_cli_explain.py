"""The ``explain`` command merges the logs of several hosts into one timeline."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from tanagerscale.cli import main
from tanagerscale.cli._explain import explain
from tanagerscale.cli._explain import parse_line

WALL_MS = 1_700_000_000_000


def _encode_line(at_ms: int, host: str, message: str, **fields: object) -> str:
    line = {"t": at_ms, "wall": WALL_MS + at_ms, "host": host, "part": "p", "message": message}
    return msgspec.json.encode({**line, **fields}).decode()


LINES = (
    _encode_line(0, "h1", "An upstream is new.", upstream="e1"),
    _encode_line(100, "h1", "An upstream is new.", upstream="e9"),
    _encode_line(200, "h2", "A configuration is in force.", version=4),
    _encode_line(300, "h1", "A configuration is in force.", version=4),
    _encode_line(1000, "h1", "An engine is chosen.", request="r1", upstream="e1"),
    _encode_line(1100, "h1", "An engine is chosen.", request="r2", upstream="e2"),
    _encode_line(1500, "h1", "Upstream is leaving.", upstream="e1"),
    _encode_line(1900, "h1", "A leg ended early.", request="r1", upstream="e1", at=7),
    _encode_line(1950, "h1", "A stream goes on.", request="r1", upstream="e3", holder="e1"),
    _encode_line(60_000, "h1", "A configuration is in force.", version=5),
)


def test_timeline_has_the_request_and_its_context_when_several_hosts_log() -> None:
    parsed = [line for text in LINES if (line := parse_line(text)) is not None]
    timeline = [(line.message, line.request) for line in explain(request="r1", lines=parsed)]
    assert timeline == [
        ("An upstream is new.", ""),
        ("A configuration is in force.", ""),
        ("An engine is chosen.", "r1"),
        ("Upstream is leaving.", ""),
        ("A leg ended early.", "r1"),
        ("A stream goes on.", "r1"),
    ]


@pytest.mark.parametrize("text", ["", "no json", "{", "[1]", '{"message": "x"}', "12.5 h1 {bad}"])
def test_line_is_skipped_when_it_is_not_a_log_line(text: str) -> None:
    assert parse_line(text) is None


def test_prefix_is_skipped_when_a_collector_adds_one() -> None:
    parsed = parse_line("  12.5 host-1 " + LINES[4])
    assert parsed is not None
    assert (parsed.request, parsed.fields) == ("r1", {"upstream": "e1"})


def test_command_prints_the_timeline_when_given_several_files(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    files = []
    for number, lines in enumerate((LINES[:5], LINES[5:])):
        file = tmp_path / f"{number}.log"
        file.write_text("\n".join(lines))
        files.append(str(file))
    main(["explain", "r1", *files])
    printed = capsys.readouterr().out
    assert "+900 ms" in printed
    assert "A leg ended early." in printed
    assert "r2" not in printed
    main(["explain", "r1", *files, "--json"])
    document = msgspec.json.decode(capsys.readouterr().out)
    assert [line["own"] for line in document] == [False, False, True, False, True, True]


def test_command_fails_when_no_line_mentions_the_request_or_a_file_is_missing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "log"
    file.write_text(LINES[0])
    with pytest.raises(SystemExit) as raised:
        main(["explain", "r7", str(file)])
    assert raised.value.code == 1
    assert "all hosts" in capsys.readouterr().err
    with pytest.raises(SystemExit) as raised:
        main(["explain", "r7", str(tmp_path / "none")])
    assert raised.value.code == 2
