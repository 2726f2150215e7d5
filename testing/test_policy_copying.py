"""Duration and order of the copies made when an engine leaves."""

from __future__ import annotations

import pytest

from tanagerscale.policy import copy_sort_key
from tanagerscale.policy import estimate_copy_ms
from tanagerscale.policy import evacuable_tokens

TOKEN_BYTES = 163_840
LINK_MBPS = 24_000.0


def test_copy_time_follows_from_size_and_doubles_across_failure_domains() -> None:
    same_domain = estimate_copy_ms(
        tokens=3500, token_bytes=TOKEN_BYTES, link_mbps=LINK_MBPS, is_cross_domain=False
    )
    other_domain = estimate_copy_ms(
        tokens=3500, token_bytes=TOKEN_BYTES, link_mbps=LINK_MBPS, is_cross_domain=True
    )
    assert same_domain == pytest.approx(191, abs=1)
    assert other_domain == pytest.approx(2 * same_domain)


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
    longer_answer = copy_sort_key(tokens=4000, answer_tokens=2000)
    shorter_answer = copy_sort_key(tokens=4000, answer_tokens=100)
    assert longer_answer < shorter_answer
