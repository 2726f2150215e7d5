"""Duration and order of the copies made when an engine leaves."""

from __future__ import annotations

import pytest

from tanagerscale.policy import copy_sort_key
from tanagerscale.policy import estimate_copy_ms
from tanagerscale.policy import evacuable_tokens

TOKEN_BYTES = 163_840
LINK_MBPS = 24_000.0


def test_copy_time_follows_from_size_and_doubles_across_failure_domains() -> None:
    near = estimate_copy_ms(
        tokens=3500, token_bytes=TOKEN_BYTES, link_mbps=LINK_MBPS, is_cross_domain=False
    )
    away = estimate_copy_ms(
        tokens=3500, token_bytes=TOKEN_BYTES, link_mbps=LINK_MBPS, is_cross_domain=True
    )
    assert near == pytest.approx(191, abs=1)
    assert away == pytest.approx(2 * near)


def test_copy_time_is_zero_when_the_bandwidth_is_not_declared() -> None:
    assert (
        estimate_copy_ms(tokens=3500, token_bytes=TOKEN_BYTES, link_mbps=0.0, is_cross_domain=True)
        == 0.0
    )
    assert evacuable_tokens(token_bytes=TOKEN_BYTES, link_mbps=0.0) == 0


def test_evacuable_tokens_can_be_copied_within_the_notice() -> None:
    tokens = evacuable_tokens(token_bytes=TOKEN_BYTES, link_mbps=LINK_MBPS)
    copy_ms = estimate_copy_ms(
        tokens=tokens, token_bytes=TOKEN_BYTES, link_mbps=LINK_MBPS, is_cross_domain=True
    )
    assert 1000 < copy_ms <= 1100


def test_run_with_the_longer_answer_is_copied_first() -> None:
    grown = copy_sort_key(tokens=4000, answer_tokens=2000)
    young = copy_sort_key(tokens=4000, answer_tokens=100)
    assert grown < young
