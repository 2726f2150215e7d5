"""Answers of the model engine stand-in, computed as a pure function of the request.

Tests and the demo compare the received answer with it. A prompt may contain directives:
``[[tokens=120]]`` sets the length, ``[[crash]]`` or ``[[crash_at=5]]`` ends the process, and
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
DEFAULT_CRASH_OFFSET = 3
MEDIAN_ANSWER_TOKENS = 60
ANSWER_LENGTH_SIGMA = 1.1
MAX_ANSWER_TOKENS = 16_384
TOKENS_DIRECTIVE = re.compile(r"\[\[tokens=(\d+)\]\]")
TAG_DIRECTIVE = re.compile(r"\[\[tag=([\w.-]+)\]\]")
CRASH_DIRECTIVE = re.compile(r"\[\[crash(?:_at=(\d+))?\]\]")
VOCABULARY = re.findall(
    r"\w+",
    "the crew ladder moves along north facade and then checks every pane before scene call "
    "sheet lists gate truck dawn library stairs wind hold two rope anchor window unit noon",
)


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt.

    :param prompt: The prompt.
    """
    return max(1, math.ceil(len(prompt) / CHARACTERS_PER_TOKEN))


def answer_length(prompt: str) -> int:
    """Return the number of tokens of the answer without an output limit.

    :param prompt: The prompt.
    :returns: Length set by the directive, or else drawn from a log-normal distribution.
    """
    directive = TOKENS_DIRECTIVE.search(prompt)
    if directive is not None:
        return int(directive.group(1))
    length = Random(_digest("length", prompt)).lognormvariate(
        math.log(MEDIAN_ANSWER_TOKENS), ANSWER_LENGTH_SIGMA
    )
    return min(MAX_ANSWER_TOKENS, max(1, int(length)))


def crash_offset(prompt: str) -> int | None:
    """Return the token offset at which the prompt crashes an engine.

    :param prompt: The prompt.
    :returns: The offset, or ``None`` without a crash directive.
    """
    directive = CRASH_DIRECTIVE.search(prompt)
    if directive is None:
        return None
    return DEFAULT_CRASH_OFFSET if directive.group(1) is None else int(directive.group(1))


def prompt_tag(prompt: str) -> str:
    """Return the name that the prompt gives to the request.

    :param prompt: The prompt.
    :returns: The name; empty without a tag directive.
    """
    directive = TAG_DIRECTIVE.search(prompt)
    return "" if directive is None else directive.group(1)


def token_at(request: EngineRequest, offset: int, *, version: str = "") -> str:
    """Return one token of an answer.

    :param request: The request.
    :param offset: Offset of the token in the answer, from 0.
    :param version: Version of the model, used when the request does not specify one.
    """
    digest = _digest(
        request.model,
        request.version or version,
        request.adapter,
        str(request.seed),
        request.prompt,
        str(offset),
    )
    word = VOCABULARY[digest[0] % len(VOCABULARY)]
    # The offset makes a duplicated, missing or misplaced token visible in the text.
    return f"{'' if offset == 0 else ' '}{word}{offset}.{digest[1:3].hex()}"


def answer_tokens(request: EngineRequest, *, version: str = "") -> list[str]:
    """Return all tokens of an answer.

    :param request: The request.
    :param version: Version of the model, used when the request does not specify one.
    """
    length = min(request.max_tokens, answer_length(request.prompt))
    return [token_at(request, offset, version=version) for offset in range(length)]


def finish_reason(request: EngineRequest) -> FinishReason:
    """Return the finish reason of an answer that completes without a failure.

    :param request: The request.
    """
    if answer_length(request.prompt) > request.max_tokens:
        return FinishReason.LENGTH
    return FinishReason.STOP


def _digest(*parts: str) -> bytes:
    return hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest()
