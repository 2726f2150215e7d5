"""The answer of a model engine stand-in: a pure function of the request.

Tests and the demo compare what a caller received with it. A prompt may hold directives:
``[[tokens=120]]`` sets the length, ``[[crash]]`` or ``[[crash_at=5]]`` ends the process,
``[[tag=x]]`` names the request in the engine's journal.
"""

from __future__ import annotations

import hashlib
import math
from random import Random
import re

from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import FinishReason

CHARACTERS_PER_TOKEN = 4
CRASH_AT = 3
MEDIAN_TOKENS = 60
LOG_SIGMA = 1.1
MOST_TOKENS = 16_384
TOKENS_DIRECTIVE = re.compile(r"\[\[tokens=(\d+)\]\]")
TAG_DIRECTIVE = re.compile(r"\[\[tag=([\w.-]+)\]\]")
CRASH_DIRECTIVE = re.compile(r"\[\[crash(?:_at=(\d+))?\]\]")
WORDS = re.findall(
    r"\w+",
    "the crew ladder moves along north facade and then checks every pane before scene call "
    "sheet lists gate truck dawn library stairs wind hold two rope anchor window unit noon",
)


def prompt_tokens(prompt: str) -> int:
    """Return how many tokens a prompt counts for.

    :param prompt: The prompt.
    """
    return max(1, math.ceil(len(prompt) / CHARACTERS_PER_TOKEN))


def answer_length(prompt: str) -> int:
    """Return how many tokens the answer to a prompt would have without a limit.

    :param prompt: The prompt.
    """
    directive = TOKENS_DIRECTIVE.search(prompt)
    if directive is not None:
        return int(directive.group(1))
    drawn = Random(_digest("length", prompt)).lognormvariate(math.log(MEDIAN_TOKENS), LOG_SIGMA)
    return min(MOST_TOKENS, max(1, int(drawn)))


def crash_offset(prompt: str) -> int | None:
    """Return at which token the prompt crashes an engine, or ``None``.

    :param prompt: The prompt.
    """
    directive = CRASH_DIRECTIVE.search(prompt)
    if directive is None:
        return None
    return CRASH_AT if directive.group(1) is None else int(directive.group(1))


def prompt_tag(prompt: str) -> str:
    """Return what the prompt calls the request; empty when it does not say.

    :param prompt: The prompt.
    """
    directive = TAG_DIRECTIVE.search(prompt)
    return "" if directive is None else directive.group(1)


def token_at(request: EngineRequest, offset: int, *, version: str = "") -> str:
    """Return one token of an answer.

    :param request: What was asked.
    :param offset: Number of tokens before it.
    :param version: The version that served it, when the request left it open.
    """
    digest = _digest(
        request.model,
        request.version or version,
        request.adapter,
        str(request.seed),
        request.prompt,
        str(offset),
    )
    word = WORDS[digest[0] % len(WORDS)]
    # The number makes a doubled, lost or moved token visible in the text.
    return f"{'' if offset == 0 else ' '}{word}{offset}.{digest[1:3].hex()}"


def answer_tokens(request: EngineRequest, *, version: str = "") -> list[str]:
    """Return all tokens of an answer.

    :param request: What was asked.
    :param version: The version that served it, when the request left it open.
    """
    length = min(request.max_tokens, answer_length(request.prompt))
    return [token_at(request, offset, version=version) for offset in range(length)]


def finish_reason(request: EngineRequest) -> FinishReason:
    """Return why an undisturbed answer ends.

    :param request: What was asked.
    """
    if answer_length(request.prompt) > request.max_tokens:
        return FinishReason.LENGTH
    return FinishReason.STOP


def _digest(*parts: str) -> bytes:
    return hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
