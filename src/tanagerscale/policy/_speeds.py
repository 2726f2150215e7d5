"""Estimates how fast engines prefill and decode, from what hosts observe.

Workload: a third of the engines of a service takes 1.3 to 2.4 times as long as the others for every
step, and an engine may become slow for some time. Each start of an engine shows about one first
event a second. The time to it divided by the prompt tokens up to it differs by a few per cent
between the samples of one engine, whatever else the engine runs. The time for a generated token
depends on the prompts that the engine prefills meanwhile, so it is used for the slowness of an
engine only while there is nothing better.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from math import ceil
from math import exp
from math import log
from statistics import median
from typing import Final

from msgspec import Struct

from tanagerscale.core import Millis

DEFAULT_PREFILL_TOKENS_PER_MS: Final = 7.3
"""Prompt tokens that an engine prefills in a millisecond, in steps of 112 tokens that take 15 ms,
regardless of what else it runs. Used until a service has shown its speed."""

DEFAULT_DECODE_MS_PER_TOKEN: Final = 9.0
"""Time per token of each generation on an engine that runs five to twelve of them. Used until a
service has shown its speed."""

MIN_SERVICE_SAMPLES: Final = 3
"""Samples that a service needs before its speeds are used; the defaults apply until then."""

FIRST_GAIN: Final = 2 / 3
"""Weight of the first sample of an engine against the median of its service. Samples of one engine
differ by a few per cent, engines by a factor of 2.4. Where there is no median, it counts in full:
else engines that are alike would differ by their numbers of samples."""

PREFILL_GAIN: Final = 0.5
"""Weight of each later sample of prefill, of which an engine shows about one a second, so that a
slow period passes within three seconds."""

DECODE_GAIN: Final = 0.15
"""Weight of each later sample of decoding. An engine shows about ten a second, one for each run and
half second; each contains the prompts that were prefilled in that half second."""

MIN_CHANGE_FACTOR: Final = 0.52
MAX_CHANGE_FACTOR: Final = 1.48
"""Bounds of the change of a speed by one sample, as a factor: less than half. One sample alone may
be an accident, such as a prompt that was partly in the cache of the engine."""

MAX_SAMPLE_FACTOR: Final = 20.0
"""Samples that differ from the usual time by more than this factor are implausible."""

MAX_SAMPLE_TOKENS: Final = 10_000_000
MAX_SAMPLE_MS: Final = 600_000
"""Samples beyond these are implausible."""

FRESH_MS: Final = 5000
"""Age up to which a speed counts in full, in milliseconds."""

HALF_LIFE_MS: Final = 5_000
"""Time in which the difference of an older speed to the median of its service is halved. An engine
that gets no work since it is slow is tried again; engines are replaced after some 20 s."""

PREFILL_TOLERANCE: Final = 1.12
"""Engines whose times differ by at most this factor are alike. Engines of one kind took 0.96 to
1.08 of their forecasts."""

DECODE_TOLERANCE: Final = 1.5
"""The same for decoding: a step with a part of a prompt takes 15 ms, one without takes 8."""


class EngineAverage(Struct, frozen=True, kw_only=True):
    """Weighted average of the samples of one kind on one engine.

    :param ms_per_token: Time per token in milliseconds.
    :param samples: Number of samples.
    :param updated_at: Time of the last sample.
    """

    ms_per_token: float
    samples: int
    updated_at: Millis


class EngineSpeed(Struct, frozen=True, kw_only=True):
    """What one start of an engine has shown.

    :param prefill: Time per prompt token; ``None`` without samples.
    :param decode: Time per generated token of each run; ``None`` without samples.
    """

    prefill: EngineAverage | None = None
    decode: EngineAverage | None = None


class SpeedSummary(Struct, frozen=True, kw_only=True):
    """Speeds of one kind over all engines of a service.

    :param median_ms: Median time per token, or the default before there are enough samples.
    :param fast_ms: Time per token of the fastest third; ``None`` before there are enough samples.
    """

    median_ms: float
    fast_ms: float | None = None


class ServiceSpeeds(Struct, frozen=True, kw_only=True):
    """Speeds over all engines of a service.

    :param prefill: Times per prompt token.
    :param decode: Times per generated token.
    """

    prefill: SpeedSummary = SpeedSummary(median_ms=1 / DEFAULT_PREFILL_TOKENS_PER_MS)
    decode: SpeedSummary = SpeedSummary(median_ms=DEFAULT_DECODE_MS_PER_TOKEN)


UNKNOWN_SPEED: Final = EngineSpeed()
DEFAULT_SPEEDS: Final = ServiceSpeeds()


def summarize_speeds(speeds: Iterable[EngineSpeed]) -> ServiceSpeeds:
    """Return the speeds of a service.

    :param speeds: What its engines have shown.
    """
    known = list(speeds)
    return ServiceSpeeds(
        prefill=_summarize([one.prefill for one in known], DEFAULT_SPEEDS.prefill),
        decode=_summarize([one.decode for one in known], DEFAULT_SPEEDS.decode),
    )


def _summarize(averages: Sequence[EngineAverage | None], default: SpeedSummary) -> SpeedSummary:
    known = [average for average in averages if average is not None]
    if sum(average.samples for average in known) < MIN_SERVICE_SAMPLES:
        return default
    times = sorted(average.ms_per_token for average in known)
    return SpeedSummary(median_ms=median(times), fast_ms=median(times[: ceil(len(times) / 3)]))


def expected_prefill_tokens(*, queued_tokens: int, prompt_tokens: int) -> int:
    """Return the prompt tokens that an engine probably processes up to a first event.

    A prompt counts as waiting until its first event, so the first of those that wait is half
    processed on average. Without this, engines seem up to a third faster when one prompt waits.

    :param queued_tokens: Tokens of all prompts up to the event, as counted when it was placed.
    :param prompt_tokens: Tokens of its own prompt.
    """
    ahead_tokens = max(queued_tokens - prompt_tokens, 0)
    return queued_tokens - min(ahead_tokens, prompt_tokens) // 2


def add_prefill_sample(
    speed: EngineSpeed, *, service: ServiceSpeeds, tokens: int, ms: int, now: Millis
) -> EngineSpeed:
    """Return the speed of an engine after a first event; unchanged if the sample is implausible.

    :param speed: What the engine has shown so far.
    :param service: Speeds of its service.
    :param tokens: Prompt tokens that it had to process up to the event.
    :param ms: Time from sending the request to the event, in milliseconds.
    :param now: Current time.
    """
    prefill = _add_sample(speed.prefill, service.prefill, PREFILL_GAIN, tokens, ms, now)
    return EngineSpeed(prefill=prefill, decode=speed.decode)


def add_decode_sample(
    speed: EngineSpeed, *, service: ServiceSpeeds, tokens: int, ms: int, now: Millis
) -> EngineSpeed:
    """Return the speed of an engine after a part of a run; unchanged if it is implausible.

    :param speed: What the engine has shown so far.
    :param service: Speeds of its service.
    :param tokens: Tokens that it has generated for the run.
    :param ms: Time that this took, in milliseconds.
    :param now: Current time.
    """
    decode = _add_sample(speed.decode, service.decode, DECODE_GAIN, tokens, ms, now)
    return EngineSpeed(prefill=speed.prefill, decode=decode)


def _add_sample(
    average: EngineAverage | None,
    service: SpeedSummary,
    gain: float,
    tokens: int,
    ms: int,
    now: Millis,
) -> EngineAverage | None:
    if not 0 < tokens <= MAX_SAMPLE_TOKENS or not 0 < ms <= MAX_SAMPLE_MS:
        return average
    ratio_to_median = ms / tokens / service.median_ms
    if not 1 / MAX_SAMPLE_FACTOR <= ratio_to_median <= MAX_SAMPLE_FACTOR:
        return average
    if average is None and service.fast_ms is None:
        return EngineAverage(ms_per_token=ms / tokens, samples=1, updated_at=now)
    before_ms = _current_ms(average, service, now)
    weight = FIRST_GAIN if average is None else gain
    # The geometric mean, since engines differ by factors.
    factor = (ms / tokens / before_ms) ** weight
    # The bounds are of the speed, the inverse of the time.
    factor = min(max(factor, 1 / MAX_CHANGE_FACTOR), 1 / MIN_CHANGE_FACTOR)
    return EngineAverage(
        ms_per_token=before_ms * factor,
        samples=1 if average is None else average.samples + 1,
        updated_at=now,
    )


def _current_ms(average: EngineAverage | None, service: SpeedSummary, now: Millis) -> float:
    """Return the time per token of an engine, nearer to the median the older its samples are."""
    if average is None:
        return service.median_ms
    old_ms = max(now - average.updated_at - FRESH_MS, 0)
    ratio = average.ms_per_token / service.median_ms
    return service.median_ms * exp(log(ratio) * 0.5 ** (old_ms / HALF_LIFE_MS))


def get_prefill_tokens_per_ms(speed: EngineSpeed, *, service: ServiceSpeeds, now: Millis) -> float:
    """Return the prompt tokens that an engine processes in a millisecond.

    Engines that are alike get the same speed, and the default if that is alike too, so that small
    differences between samples don't decide between engines.

    :param speed: What the engine has shown.
    :param service: Speeds of its service.
    :param now: Current time.
    """
    fast_ms = service.prefill.fast_ms
    if fast_ms is None:
        return DEFAULT_PREFILL_TOKENS_PER_MS
    own_ms = _current_ms(speed.prefill, service.prefill, now)
    if not _is_alike(own_ms, fast_ms):
        return 1 / own_ms
    if _is_alike(fast_ms, DEFAULT_SPEEDS.prefill.median_ms):
        return DEFAULT_PREFILL_TOKENS_PER_MS
    return 1 / fast_ms


def _is_alike(one_ms: float, other_ms: float) -> bool:
    return 1 / PREFILL_TOLERANCE <= one_ms / other_ms <= PREFILL_TOLERANCE


def get_slowness(speed: EngineSpeed, *, service: ServiceSpeeds, now: Millis) -> float:
    """Return how many times as long as the fastest third of its service an engine takes.

    :param speed: What the engine has shown.
    :param service: Speeds of its service.
    :param now: Current time.
    :returns: The ratio; exactly 1 for engines that are alike or faster.
    """
    prefill, decode = speed.prefill, speed.decode
    if not _is_fresh(prefill, now) and _is_fresh(decode, now):
        return _ratio_to_fast(decode, service.decode, DECODE_TOLERANCE, now)
    return _ratio_to_fast(prefill, service.prefill, PREFILL_TOLERANCE, now)


def _is_fresh(average: EngineAverage | None, now: Millis) -> bool:
    return average is not None and now - average.updated_at <= FRESH_MS


def _ratio_to_fast(
    average: EngineAverage | None, service: SpeedSummary, tolerance: float, now: Millis
) -> float:
    if service.fast_ms is None:
        return 1.0
    ratio = _current_ms(average, service, now) / service.fast_ms
    return ratio if ratio > tolerance else 1.0
