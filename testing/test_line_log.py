"""The log handler never blocks the process and reports how many lines it drops."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import os
from typing import Any

import msgspec
import pytest

from tanagerscale.core import Clock
from tanagerscale.core import JsonLinesHandler
from tanagerscale.core import get_logger
from tanagerscale.core._line_log import MAX_KEPT_LINES
from tanagerscale.core._line_log import MAX_LINE_BYTES
from testing._virtual_time import run_virtually

WARNINGS = 200
"""Answers that a host cuts at once."""

log = get_logger(part="part")


@contextlib.contextmanager
def _pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    try:
        yield reader, writer
    finally:
        os.close(reader)
        os.close(writer)


def _read_lines(reader: int) -> list[dict[str, Any]]:
    try:
        data = os.read(reader, 1 << 20)
    except BlockingIOError:
        return []
    return [msgspec.json.decode(line) for line in data.splitlines()]


def _fill(writer: int) -> None:
    """Fill a pipe with empty lines."""
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"\n" * 4096)


def _empty(reader: int) -> None:
    """Read all that is in a pipe."""
    with contextlib.suppress(BlockingIOError):
        while True:
            os.read(reader, 1 << 20)


def _make_handler(writer: int, *, lines_per_s: int = 1000) -> JsonLinesHandler:
    return JsonLinesHandler(descriptor=writer, host="h", lines_per_s=lines_per_s, clock=Clock())


def test_line_has_host_part_message_and_fields_when_written() -> None:
    async def scenario() -> None:
        with _pipe() as (reader, writer):
            with _make_handler(writer):
                log.info("Something was decided.", request="r", age_ms=5)
            (line,) = _read_lines(reader)
        assert (line["host"], line["part"], line["level"]) == ("h", "part", "info")
        assert (line["message"], line["request"], line["age_ms"]) == (
            "Something was decided.",
            "r",
            5,
        )

    run_virtually(scenario())


def test_lines_are_dropped_and_counted_when_they_exceed_the_limit() -> None:
    async def scenario() -> None:
        with _pipe() as (reader, writer), _make_handler(writer, lines_per_s=3):
            for number in range(10):
                log.info("Line.", number=number)
            assert [line["number"] for line in _read_lines(reader)] == [0, 1, 2]
            await asyncio.sleep(1.0)
            log.info("Line.", number=10)
            (line,) = _read_lines(reader)
            assert (line["number"], line["lines_left_out"]) == (10, 7)

    run_virtually(scenario())


def test_warnings_are_written_when_the_limit_is_exceeded() -> None:
    async def scenario() -> None:
        with _pipe() as (reader, writer), _make_handler(writer, lines_per_s=1):
            log.info("One.")
            log.info("Two.")
            log.warning("Three.")
            assert [line["message"] for line in _read_lines(reader)] == ["One.", "Three."]

    run_virtually(scenario())


def test_lines_are_dropped_without_blocking_when_the_pipe_is_full() -> None:
    async def scenario() -> None:
        with _pipe() as (reader, writer), _make_handler(writer, lines_per_s=1_000_000):
            for number in range(5000):
                log.info("Line.", number=number, filler="x" * 200)
            first = _read_lines(reader)
            log.info("Last.")
            (last,) = _read_lines(reader)
            assert last["lines_left_out"] == 5000 - len(first)

    run_virtually(scenario())


# Guards against answers that are lost without a line: what tells of them is a warning.
def test_warnings_are_written_later_when_the_pipe_is_full() -> None:
    async def scenario() -> None:
        with _pipe() as (reader, writer), _make_handler(writer, lines_per_s=1_000_000) as handler:
            _fill(writer)
            for number in range(5000):
                log.info("Line.", number=number, filler="x" * 200)
            log.warning("Cut.", request="r")
            _empty(reader)
            handler.flush(timeout_ms=0)
            (line,) = _read_lines(reader)
            assert (line["message"], line["request"]) == ("Cut.", "r")
            assert line["lines_left_out"] == 5000

    run_virtually(scenario())


# Guards against answers that are lost without a line: those that are cut at the very end come last.
def test_latest_warnings_are_kept_when_there_are_more_than_can_be() -> None:
    async def scenario() -> None:
        with _pipe() as (reader, writer), _make_handler(writer) as handler:
            _fill(writer)
            for number in range(MAX_KEPT_LINES + 100):
                log.warning("Cut.", number=number)
            _empty(reader)
            handler.flush(timeout_ms=0)
            lines = _read_lines(reader)
            assert [line["number"] for line in lines] == list(range(100, MAX_KEPT_LINES + 100))
            log.warning("Next.")
            lines += _read_lines(reader)
            assert sum(line.get("lines_left_out", 0) for line in lines) == 100
            assert handler.dropped_lines == 100

    run_virtually(scenario())


# Guards against answers that are lost without a line: other lines have filled the pipe, and the
# process ends before its reader has read them.
def test_warnings_are_written_at_once_when_other_lines_have_filled_their_part_of_the_pipe() -> None:
    async def scenario() -> None:
        with _pipe() as (reader, writer), _make_handler(writer, lines_per_s=1_000_000):
            for number in range(5000):
                log.info("Line.", number=number, filler="x" * 200)
            for number in range(WARNINGS):
                log.warning("Cut.", number=number, filler="x" * 500)
            cut = [line for line in _read_lines(reader) if line["message"] == "Cut."]
            assert [line["number"] for line in cut] == list(range(WARNINGS))
            assert cut[0]["lines_left_out"] > 0

    run_virtually(scenario())


def test_flush_ends_when_nobody_reads_the_log() -> None:
    async def scenario() -> None:
        with _pipe() as (reader, writer), _make_handler(writer, lines_per_s=1_000_000) as handler:
            for number in range(5000):
                log.info("Line.", number=number, filler="x" * 200)
            for number in range(1000):
                log.warning("Cut.", number=number)
            os.close(reader)
            handler.flush(timeout_ms=0)
            os.dup2(os.open(os.devnull, os.O_RDONLY), reader)

    run_virtually(scenario())


@pytest.mark.parametrize("size", [3000, 10_000, 1_000_000])
def test_line_is_valid_json_when_it_is_too_long(size: int) -> None:
    async def scenario() -> None:
        with _pipe() as (reader, writer), _make_handler(writer):
            log.info("Long.", request="r", filler="x" * size)
            (line,) = _read_lines(reader)
            assert line["request"] == "r"

    run_virtually(scenario())


def test_line_has_the_exception_when_one_is_logged() -> None:
    async def scenario() -> None:
        with _pipe() as (reader, writer), _make_handler(writer):
            try:
                raise ValueError("broken")
            except ValueError:
                log.exception("It failed.")
            (line,) = _read_lines(reader)
            assert "broken" in line["exception"]

    run_virtually(scenario())


def test_lines_are_not_written_when_below_the_level() -> None:
    async def scenario() -> None:
        with _pipe() as (reader, writer), _make_handler(writer):
            log.debug("Detail.")
            assert _read_lines(reader) == []

    run_virtually(scenario())


# Guards against a request that no line names: its id and path come from its caller.
@pytest.mark.parametrize("value", ["\udcff", "\x00" * 300, "\U0001f600" * 1000, {1: "x"}, 2**70])
def test_line_is_written_when_a_value_is_odd(value: object) -> None:
    async def scenario() -> None:
        with _pipe() as (reader, writer), _make_handler(writer):
            log.warning("Odd.", request=value, **{f"field_{n}": value for n in range(15)})
            data = os.read(reader, 1 << 20)
            assert len(data) <= MAX_LINE_BYTES
            assert msgspec.json.decode(data)["message"] == "Odd."

    run_virtually(scenario())
