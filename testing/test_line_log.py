"""Log lines never hold the process up, and tell what they leave out."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import os
from typing import Any

import msgspec
import pytest

from tanagerscale.core import Clock
from tanagerscale.core import LineLog
from tanagerscale.core import get_logger
from testing._virtual_time import run_virtually

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


def _lines(reader: int) -> list[dict[str, Any]]:
    try:
        data = os.read(reader, 1 << 20)
    except BlockingIOError:
        return []
    return [msgspec.json.decode(line) for line in data.splitlines()]


def _handler(writer: int, *, lines_per_s: int = 1000) -> LineLog:
    return LineLog(descriptor=writer, host="h", lines_per_s=lines_per_s, clock=Clock())


def test_line_has_its_host_part_message_and_inputs() -> None:
    async def play() -> None:
        with _pipe() as (reader, writer):
            with _handler(writer):
                log.info("Something was decided.", request="r", age_ms=5)
            (line,) = _lines(reader)
        assert (line["host"], line["part"], line["level"]) == ("h", "part", "info")
        assert (line["message"], line["request"], line["age_ms"]) == (
            "Something was decided.",
            "r",
            5,
        )

    run_virtually(play())


def test_lines_beyond_the_limit_are_counted_and_left_out() -> None:
    async def play() -> None:
        with _pipe() as (reader, writer), _handler(writer, lines_per_s=3):
            for number in range(10):
                log.info("Line.", number=number)
            assert [line["number"] for line in _lines(reader)] == [0, 1, 2]
            await asyncio.sleep(1.0)
            log.info("Line.", number=10)
            (line,) = _lines(reader)
            assert (line["number"], line["lines_left_out"]) == (10, 7)

    run_virtually(play())


def test_warnings_are_written_beyond_the_limit() -> None:
    async def play() -> None:
        with _pipe() as (reader, writer), _handler(writer, lines_per_s=1):
            log.info("One.")
            log.info("Two.")
            log.warning("Three.")
            assert [line["message"] for line in _lines(reader)] == ["One.", "Three."]

    run_virtually(play())


def test_full_pipe_costs_lines_and_no_time() -> None:
    async def play() -> None:
        with _pipe() as (reader, writer), _handler(writer, lines_per_s=1_000_000):
            for number in range(5000):
                log.info("Line.", number=number, filler="x" * 200)
            first = _lines(reader)
            log.info("Last.")
            (last,) = _lines(reader)
            assert last["lines_left_out"] == 5000 - len(first)

    run_virtually(play())


@pytest.mark.parametrize("size", [3000, 10_000, 1_000_000])
def test_line_that_is_too_long_is_still_one_that_can_be_read(size: int) -> None:
    async def play() -> None:
        with _pipe() as (reader, writer), _handler(writer):
            log.info("Long.", request="r", filler="x" * size)
            (line,) = _lines(reader)
            assert line["request"] == "r"

    run_virtually(play())


def test_exception_is_in_its_line() -> None:
    async def play() -> None:
        with _pipe() as (reader, writer), _handler(writer):
            try:
                raise ValueError("broken")
            except ValueError:
                log.exception("It failed.")
            (line,) = _lines(reader)
            assert "broken" in line["exception"]

    run_virtually(play())


def test_lines_below_the_level_are_not_written() -> None:
    async def play() -> None:
        with _pipe() as (reader, writer), _handler(writer):
            log.debug("Detail.")
            assert _lines(reader) == []

    run_virtually(play())
