"""How long copies take and in which order they go when an engine leaves."""

from __future__ import annotations

import pytest

from tanagerscale.policy import copy_ms
from tanagerscale.policy import easy_tokens
from tanagerscale.policy import order_of

TOKEN_BYTES = 163_840
LINK_MBPS = 24_000.0


def test_copy_takes_as_long_as_its_bytes_and_twice_as_long_to_another_failure_domain() -> None:
    near = copy_ms(tokens=3500, token_bytes=TOKEN_BYTES, link_mbps=LINK_MBPS, away=False)
    away = copy_ms(tokens=3500, token_bytes=TOKEN_BYTES, link_mbps=LINK_MBPS, away=True)
    assert near == pytest.approx(191, abs=1)
    assert away == pytest.approx(2 * near)


def test_copy_takes_no_time_when_the_link_is_not_declared() -> None:
    assert copy_ms(tokens=3500, token_bytes=TOKEN_BYTES, link_mbps=0.0, away=True) == 0.0
    assert easy_tokens(token_bytes=TOKEN_BYTES, link_mbps=0.0) == 0


def test_what_is_easy_to_copy_fits_the_notice_of_an_engine() -> None:
    tokens = easy_tokens(token_bytes=TOKEN_BYTES, link_mbps=LINK_MBPS)
    takes = copy_ms(tokens=tokens, token_bytes=TOKEN_BYTES, link_mbps=LINK_MBPS, away=True)
    assert 1000 < takes <= 1100


def test_run_with_more_of_its_answer_goes_first() -> None:
    grown = order_of(tokens=4000, made=2000)
    young = order_of(tokens=4000, made=100)
    assert grown < young
