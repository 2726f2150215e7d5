"""The event reader splits a stream into complete events."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tanagerscale.forwarding._events import EventError
from tanagerscale.forwarding._events import EventReader
from testing._random_cases import random_case_settings


def _event(number: int, data: str) -> bytes:
    return f"id: {number}\ndata: {data}\n\n".encode()


@random_case_settings(examples=200)
@given(
    data=st.lists(st.text(alphabet="abc \r:", max_size=8), min_size=1, max_size=6),
    cuts=st.lists(st.integers(min_value=0, max_value=200), max_size=8),
)
def test_events_do_not_depend_on_chunk_boundaries(data: list[str], cuts: list[int]) -> None:
    whole = b"".join(_event(number, text) for number, text in enumerate(data, start=1))
    places = sorted({min(cut, len(whole)) for cut in cuts} | {0, len(whole)})
    reader = EventReader()
    events = []
    for begin, end in pairwise(places):
        events += reader.feed(whole[begin:end])
    assert [event.number for event in events] == list(range(1, len(data) + 1))
    assert b"".join(event.content for event in events) == whole
    assert reader.is_empty


def test_bytes_are_buffered_when_an_event_is_incomplete() -> None:
    reader = EventReader()
    assert reader.feed(b"id: 1\ndata: x") == []
    assert not reader.is_empty
    assert [event.number for event in reader.feed(b"\n\n")] == [1]


def test_number_is_found_when_another_line_comes_first() -> None:
    (event,) = EventReader().feed(b"some-field: 2\nid: 7\ndata: x\n\n")
    assert event.number == 7


@pytest.mark.parametrize("text", [b"data: x\n\n", b"id: x\n\n", b"\n\n"])
def test_error_is_raised_when_an_event_has_no_number(text: bytes) -> None:
    with pytest.raises(EventError):
        EventReader().feed(text)
