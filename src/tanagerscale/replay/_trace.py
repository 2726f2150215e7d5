"""Reads, writes and generates request traces."""

from __future__ import annotations

from collections.abc import Sequence
import math
from pathlib import Path
from random import Random

import msgspec
from msgspec import Struct

from tanagerscale.core import MS_PER_SECOND

MAX_OUTPUT_TOKENS = 8_000
DEFAULT_DURATION_S = 300
PEAK_AMPLITUDE = 0.25
"""Relative amplitude of the arrival rate.

The rate exceeds the mean by this fraction at the peak (dawn or the wrap of a shoot) and falls below
it by the same fraction at the start and the end of the trace.
"""


class TraceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One recorded request; ``output_tokens`` is hidden from the policy."""

    at_ms: int
    account: str
    request_class: str
    short: bool
    priority: int
    prefix: str
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    whole: bool


class Workload(Struct, frozen=True, kw_only=True):
    """Distribution of one class of requests of a user.

    :param name: Name of the request class.
    :param short: Whether the answers are short.
    :param prefixes: Number of shared prompt prefixes.
    :param prefix_tokens: Inclusive range of the prefix lengths.
    :param suffix_tokens: Inclusive range of the length of the rest of the prompt.
    :param median_output_tokens: Median of the lognormal output length.
    :param output_sigma: Standard deviation of the logarithm of the output length.
    :param whole: Whether answers are delivered only once complete.
    """

    name: str
    short: bool
    prefixes: int
    prefix_tokens: tuple[int, int]
    suffix_tokens: tuple[int, int]
    median_output_tokens: float
    output_sigma: float
    whole: bool


class AccountMix(Struct, frozen=True, kw_only=True):
    """Request mix of one client account of a user.

    :param name: Name of the account.
    :param share: Fraction of all requests of the user.
    :param short_ratio: Fraction of the account's requests that are short.
    :param priority: Declared priority; 0 is the highest.
    """

    name: str
    share: float
    short_ratio: float
    priority: int = 1


class UserProfile(Struct, frozen=True, kw_only=True):
    """Workloads and client accounts that a user's traces are generated from.

    :param short: Workload with short answers.
    :param long: Workload with long answers.
    :param accounts: Client accounts of the user.
    """

    short: Workload
    long: Workload
    accounts: tuple[AccountMix, ...]


def _build_accounts(names: Sequence[str], *, urgent: str, batch: str) -> tuple[AccountMix, ...]:
    """Return the client accounts: three large ones, then small ones with a mixed workload.

    :param names: Names of ten accounts.
    :param urgent: Small account with priority 0.
    :param batch: Small account with priority 2.
    """
    first, second, third, *rest = names
    large = (
        AccountMix(name=first, share=0.30, short_ratio=0.80),
        AccountMix(name=second, share=0.22, short_ratio=1.0, priority=0),
        AccountMix(name=third, share=0.13, short_ratio=0.10),
    )
    small = tuple(
        AccountMix(
            name=name,
            share=0.05,
            short_ratio=0.75,
            priority=0 if name == urgent else 2 if name == batch else 1,
        )
        for name in rest
    )
    return large + small


USER_PROFILES = {
    "trois-rivieres": UserProfile(
        short=Workload(
            name="ladder-check",
            short=True,
            prefixes=60,
            prefix_tokens=(500, 1400),
            suffix_tokens=(60, 300),
            median_output_tokens=28.0,
            output_sigma=0.6,
            whole=False,
        ),
        long=Workload(
            name="round-plan",
            short=False,
            prefixes=16,
            prefix_tokens=(800, 2000),
            suffix_tokens=(150, 600),
            median_output_tokens=650.0,
            output_sigma=0.9,
            whole=True,
        ),
        accounts=_build_accounts(
            [
                "dispatch",
                "crews-east",
                "supervisors",
                "crews-west",
                "crews-port",
                "libraries",
                "schools",
                "arenas",
                "archive",
                "heritage",
            ],
            urgent="crews-west",
            batch="archive",
        ),
    ),
    "film-office": UserProfile(
        short=Workload(
            name="scene-notes",
            short=True,
            prefixes=40,
            prefix_tokens=(300, 1000),
            suffix_tokens=(200, 1200),
            median_output_tokens=70.0,
            output_sigma=0.7,
            whole=False,
        ),
        long=Workload(
            name="call-sheet",
            short=False,
            prefixes=24,
            prefix_tokens=(1000, 2500),
            suffix_tokens=(300, 1200),
            median_output_tokens=900.0,
            output_sigma=0.8,
            whole=True,
        ),
        accounts=_build_accounts(
            [
                "studio-north",
                "assistants",
                "coordinators",
                "studio-lac",
                "documentary",
                "series-a",
                "series-b",
                "animation",
                "archives",
                "locations",
            ],
            urgent="locations",
            batch="archives",
        ),
    ),
}


def generate_trace(
    *, user: str, rate: float, seed: int, duration_s: int = DEFAULT_DURATION_S
) -> list[TraceRequest]:
    """Generate a trace of one user.

    :param user: A key of ``USER_PROFILES``.
    :param rate: Mean number of requests per second.
    :param seed: Seed of the random numbers; the same seed gives the same trace.
    :param duration_s: Length of the trace in seconds.
    """
    rng = Random(f"{user}/{seed}")
    profile = USER_PROFILES[user]
    prefixes = {
        workload.name: [rng.randint(*workload.prefix_tokens) for _ in range(workload.prefixes)]
        for workload in (profile.short, profile.long)
    }
    weights = [account.share for account in profile.accounts]
    requests: list[TraceRequest] = []
    arrival_s = 0.0
    while True:
        arrival_s += rng.expovariate(rate * _relative_rate(arrival_s / duration_s))
        if arrival_s >= duration_s:
            return requests
        account = rng.choices(profile.accounts, weights)[0]
        workload = profile.short if rng.random() < account.short_ratio else profile.long
        requests.append(_make_request(rng, arrival_s, account, workload, prefixes[workload.name]))


def _relative_rate(fraction: float) -> float:
    """Return the arrival rate relative to its mean.

    :param fraction: Position in the trace, from 0 at its start to 1 at its end.
    """
    return 1.0 - PEAK_AMPLITUDE * math.cos(2 * math.pi * fraction)


def _make_request(
    rng: Random, arrival_s: float, account: AccountMix, workload: Workload, prefixes: Sequence[int]
) -> TraceRequest:
    # The square makes low numbers more likely, so that some prefixes are popular.
    number = int(len(prefixes) * rng.random() ** 2)
    output_tokens = rng.lognormvariate(
        math.log(workload.median_output_tokens), workload.output_sigma
    )
    return TraceRequest(
        at_ms=int(arrival_s * MS_PER_SECOND),
        account=account.name,
        request_class=workload.name,
        short=workload.short,
        priority=account.priority,
        prefix=f"{workload.name}-{number}",
        prefix_tokens=prefixes[number],
        prompt_tokens=prefixes[number] + rng.randint(*workload.suffix_tokens),
        output_tokens=min(max(int(output_tokens), 1), MAX_OUTPUT_TOKENS),
        whole=workload.whole,
    )


def write_trace(path: Path, requests: Sequence[TraceRequest]) -> None:
    """Write a trace to a file of JSON lines."""
    encoder = msgspec.json.Encoder()
    path.write_bytes(encoder.encode_lines(requests))


def read_trace(path: Path) -> list[TraceRequest]:
    """Read a trace from a file of JSON lines.

    :raises msgspec.ValidationError: If a line is not a valid request.
    """
    return msgspec.json.Decoder(TraceRequest).decode_lines(path.read_bytes())
