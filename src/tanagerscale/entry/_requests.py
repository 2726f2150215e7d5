"""Checks of callers' requests."""

from __future__ import annotations

from hashlib import blake2b
import random
from typing import final

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Execution
from tanagerscale.core import GenerationId
from tanagerscale.core import ModelId
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.declarations import Declarations
from tanagerscale.dispatch import GenerationRequest
from tanagerscale.generated.callers import CompletionRequest
from tanagerscale.generated.declarations import ClientAccount
from tanagerscale.generated.declarations import Delivery
from tanagerscale.generated.declarations import Model
from tanagerscale.generated.declarations import Priority
from tanagerscale.quarantine import fingerprint_of

CHARS_PER_TOKEN = 4
"""Rough length of a token; only forecasts depend on it."""
MAX_SEED = 2**31 - 1
PRIORITY_RANK = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BATCH: 2}
PREFIX_DIGEST_BYTES = 16


@final
class RequestChecker:
    """Turns bodies of completion requests into generation requests.

    :param fingerprint_key: Keys the fingerprints, so that they tell nothing of a prompt.
    :param rng: Draws seeds.
    """

    def __init__(self, *, fingerprint_key: bytes, rng: random.Random) -> None:
        self._fingerprint_key = fingerprint_key
        self._rng = rng
        self._decoder = msgspec.json.Decoder(CompletionRequest)

    def check(
        self,
        *,
        body: bytes,
        chat: bool,
        account: ClientAccountId,
        generation: GenerationId,
        declarations: Declarations,
    ) -> Result[tuple[CompletionRequest, GenerationRequest], Problem]:
        """Return the request as sent and as checked, or the problem with it.

        :param body: JSON text.
        :param chat: Whether messages are expected in place of a prompt.
        :param account: Who asks.
        :param generation: Id for the generation.
        :param declarations: What is in force.
        """
        try:
            asked = self._decoder.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            return Failure(bad_request(f"Send a JSON body that fits docs/API.md: {error}."))
        declared = declarations.accounts.get(account)
        model = declarations.models.get(ModelId(asked.model))
        if declared is None:
            return Failure(_forbidden("The account is no longer declared; ask the operators."))
        if model is None:
            return Failure(_not_found(asked.model, sorted(declarations.models)))
        if declared.models and model.name not in declared.models:
            return Failure(_forbidden(f"The account may not call {model.name}."))
        return self._build(asked, chat, declared, model, generation, declarations, body)

    def _build(
        self,
        asked: CompletionRequest,
        chat: bool,
        account: ClientAccount,
        model: Model,
        generation: GenerationId,
        declarations: Declarations,
        body: bytes,
    ) -> Result[tuple[CompletionRequest, GenerationRequest], Problem]:
        adapter = declarations.adapters.get(asked.adapter) if asked.adapter else None
        if asked.adapter and (adapter is None or adapter.model != model.name):
            return Failure(bad_request(f"No adapter {asked.adapter!r} is declared for the model."))
        prompt = _chat_prompt(asked) if chat else asked.prompt
        if not prompt:
            field = "messages" if chat else "prompt"
            return Failure(bad_request(f"Send a {field} that is not empty."))
        prompt_tokens = max(1, len(prompt) // CHARS_PER_TOKEN)
        room = model.context_tokens - prompt_tokens
        if room < 1:
            return Failure(bad_request("Shorten the prompt; it fills the model's context."))
        limit = min(asked.max_tokens or model.max_output_tokens, model.max_output_tokens, room)
        prefix = prompt[: asked.prefix_chars]
        request = GenerationRequest(
            generation=generation,
            account=ClientAccountId(account.name),
            model=ModelId(model.name),
            version=model.version,
            adapter=asked.adapter,
            prompt=prompt,
            prompt_tokens=prompt_tokens,
            max_tokens=limit,
            seed=self._rng.randrange(MAX_SEED) if asked.seed is None else asked.seed,
            priority=PRIORITY_RANK[account.priority],
            request_class=asked.request_class,
            prefix=_digest(prefix.encode(errors="replace")) if prefix else "",
            prefix_tokens=len(prefix) // CHARS_PER_TOKEN,
            whole=not asked.stream or model.delivery is Delivery.WHOLE,
            fingerprint=self.fingerprint(account=ClientAccountId(account.name), body=body),
        )
        return Success((asked, request))

    def fingerprint(self, *, account: ClientAccountId, body: bytes) -> str:
        """Return what recognises the same body from the same account.

        :param account: Who asks.
        :param body: What was sent.
        """
        return fingerprint_of(key=self._fingerprint_key, account=account, body=body)


def bad_request(detail: str) -> Problem:
    """Return the problem of a request that breaks the interface.

    :param detail: One sentence that names the remedy.
    """
    return Problem(kind=ProblemKind.BAD_REQUEST, detail=detail, execution=Execution.NOT_EXECUTED)


def _forbidden(detail: str) -> Problem:
    return Problem(kind=ProblemKind.FORBIDDEN, detail=detail, execution=Execution.NOT_EXECUTED)


def _not_found(model: str, declared: list[str]) -> Problem:
    return Problem(
        kind=ProblemKind.NOT_FOUND,
        detail=f"No model {model!r} is declared; ask for one of {', '.join(declared)}.",
        execution=Execution.NOT_EXECUTED,
    )


def _chat_prompt(asked: CompletionRequest) -> str:
    return "\n".join(f"{message.role}: {message.content}" for message in asked.messages)


def _digest(data: bytes) -> str:
    return blake2b(data, digest_size=PREFIX_DIGEST_BYTES).hexdigest()
