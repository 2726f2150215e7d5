"""Traces: reading, writing and making them."""

from __future__ import annotations

from collections.abc import Sequence
import math
from pathlib import Path
from random import Random

import msgspec
from msgspec import Struct

from tanagerscale.core import MS_PER_SECOND

LONGEST_OUTPUT = 8_000
DEFAULT_DURATION_S = 300
PEAK_GAIN = 0.25
"""By how much the dawn or wrap peak passes the mean rate, and the quiet ends fall below it."""


class TraceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One recorded request; the policy never sees ``output_tokens``."""

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
    """One kind of request of a user.

    :param name: Its class.
    :param short: Whether its answers are short.
    :param prefixes: How many shared prompt prefixes there are.
    :param prefix_tokens: Range of their lengths.
    :param own_tokens: Range of the length of the rest of the prompt.
    :param median: Median answer length.
    :param sigma: Spread of the logarithm of the answer length.
    :param whole: Whether answers are delivered only once complete.
    """

    name: str
    short: bool
    prefixes: int
    prefix_tokens: tuple[int, int]
    own_tokens: tuple[int, int]
    median: float
    sigma: float
    whole: bool


class AccountMix(Struct, frozen=True, kw_only=True):
    """One client account of a user.

    :param name: Its name.
    :param share: Part of all requests.
    :param short_part: Part of its requests that are short.
    :param priority: Declared priority.
    """

    name: str
    share: float
    short_part: float
    priority: int = 1


class User(Struct, frozen=True, kw_only=True):
    """What a user's traces look like.

    :param short: Its short workload.
    :param long: Its long workload.
    :param accounts: Its client accounts.
    """

    short: Workload
    long: Workload
    accounts: tuple[AccountMix, ...]


def _accounts(names: Sequence[str], *, urgent: str, batch: str) -> tuple[AccountMix, ...]:
    """Return ten accounts: three large, the others small and mixed."""
    first, second, third, *rest = names
    large = (
        AccountMix(name=first, share=0.30, short_part=0.80),
        AccountMix(name=second, share=0.22, short_part=1.0, priority=0),
        AccountMix(name=third, share=0.13, short_part=0.10),
    )
    small = tuple(
        AccountMix(
            name=name,
            share=0.05,
            short_part=0.75,
            priority=0 if name == urgent else 2 if name == batch else 1,
        )
        for name in rest
    )
    return large + small


USERS = {
    "trois-rivieres": User(
        short=Workload(
            name="ladder-check",
            short=True,
            prefixes=60,
            prefix_tokens=(500, 1400),
            own_tokens=(60, 300),
            median=28.0,
            sigma=0.6,
            whole=False,
        ),
        long=Workload(
            name="round-plan",
            short=False,
            prefixes=16,
            prefix_tokens=(800, 2000),
            own_tokens=(150, 600),
            median=650.0,
            sigma=0.9,
            whole=True,
        ),
        accounts=_accounts(
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
    "film-office": User(
        short=Workload(
            name="scene-notes",
            short=True,
            prefixes=40,
            prefix_tokens=(300, 1000),
            own_tokens=(200, 1200),
            median=70.0,
            sigma=0.7,
            whole=False,
        ),
        long=Workload(
            name="call-sheet",
            short=False,
            prefixes=24,
            prefix_tokens=(1000, 2500),
            own_tokens=(300, 1200),
            median=900.0,
            sigma=0.8,
            whole=True,
        ),
        accounts=_accounts(
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


def make_trace(
    *, user: str, rate: float, seed: int, duration_s: int = DEFAULT_DURATION_S
) -> list[TraceRequest]:
    """Make a trace of one user.

    :param user: A key of ``USERS``.
    :param rate: Mean requests a second.
    :param seed: The same seed gives the same trace.
    :param duration_s: Length in seconds.
    """
    rng = Random(f"{user}/{seed}")
    described = USERS[user]
    prefixes = {
        work.name: [rng.randint(*work.prefix_tokens) for _ in range(work.prefixes)]
        for work in (described.short, described.long)
    }
    weights = [account.share for account in described.accounts]
    requests: list[TraceRequest] = []
    at = 0.0
    while True:
        at += rng.expovariate(rate * _peak(at / duration_s))
        if at >= duration_s:
            return requests
        account = rng.choices(described.accounts, weights)[0]
        work = described.short if rng.random() < account.short_part else described.long
        requests.append(_request(rng, at, account, work, prefixes[work.name]))


def _peak(part: float) -> float:
    """Return the rate at a part of the trace, relative to the mean; its mean is 1."""
    return 1.0 - PEAK_GAIN * math.cos(2 * math.pi * part)


def _request(
    rng: Random, at: float, account: AccountMix, work: Workload, prefixes: Sequence[int]
) -> TraceRequest:
    # Popular prefixes: the square makes low numbers more likely.
    number = int(len(prefixes) * rng.random() ** 2)
    output = rng.lognormvariate(math.log(work.median), work.sigma)
    return TraceRequest(
        at_ms=int(at * MS_PER_SECOND),
        account=account.name,
        request_class=work.name,
        short=work.short,
        priority=account.priority,
        prefix=f"{work.name}-{number}",
        prefix_tokens=prefixes[number],
        prompt_tokens=prefixes[number] + rng.randint(*work.own_tokens),
        output_tokens=min(max(int(output), 1), LONGEST_OUTPUT),
        whole=work.whole,
    )


def write_trace(path: Path, requests: Sequence[TraceRequest]) -> None:
    """Write a trace as JSON lines."""
    encoder = msgspec.json.Encoder()
    path.write_bytes(encoder.encode_lines(requests))


def read_trace(path: Path) -> list[TraceRequest]:
    """Read a trace of JSON lines.

    :raises msgspec.ValidationError: When a line is not a request.
    """
    return msgspec.json.Decoder(TraceRequest).decode_lines(path.read_bytes())
