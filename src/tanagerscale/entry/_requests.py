"""Validation of completion requests."""

from __future__ import annotations

from hashlib import blake2b
import random
from typing import final

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Execution
from tanagerscale.core import GenerationId
from tanagerscale.core import ModelId
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.core import decode_json
from tanagerscale.declarations import Declarations
from tanagerscale.dispatch import GenerationRequest
from tanagerscale.generated.callers import CompletionRequest
from tanagerscale.generated.declarations import ClientAccount
from tanagerscale.generated.declarations import Delivery
from tanagerscale.generated.declarations import Model
from tanagerscale.generated.declarations import Priority
from tanagerscale.quarantine import fingerprint_of

CHARS_PER_TOKEN = 4
"""Approximate number of characters per token, used for estimates only."""
MAX_SEED = 2**31 - 1
PRIORITY_RANK = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BATCH: 2}
PREFIX_DIGEST_BYTES = 16


@final
class RequestChecker:
    """Validates the bodies of completion requests and converts them to generation requests.

    :param fingerprint_key: Key of the fingerprint hash, so that a fingerprint does not reveal the
        prompt.
    :param rng: Random number generator for the seeds of requests that specify none.
    """

    def __init__(self, *, fingerprint_key: bytes, rng: random.Random) -> None:
        self._fingerprint_key = fingerprint_key
        self._rng = rng

    def check(
        self,
        *,
        body: bytes,
        chat: bool,
        account: ClientAccountId,
        generation: GenerationId,
        declarations: Declarations,
    ) -> Result[tuple[CompletionRequest, GenerationRequest], Problem]:
        """Validate a request body.

        :param body: JSON body.
        :param chat: Whether to expect messages in place of a prompt.
        :param account: Client account that sent the request.
        :param generation: Id of the new generation.
        :param declarations: Declarations in force.
        :returns: The decoded body and the generation request, or the problem to reject the request
            with.
        """
        decoded = decode_json(body, CompletionRequest)
        if isinstance(decoded, Failure):
            cause = decoded.failure()
            return Failure(bad_request(f"Send a JSON body that fits docs/API.md: {cause}."))
        completion_request = decoded.unwrap()
        declared_account = declarations.accounts.get(account)
        model = declarations.models.get(ModelId(completion_request.model))
        if declared_account is None:
            return Failure(_forbidden("The account is no longer declared; ask the operators."))
        if model is None:
            return Failure(_not_found(completion_request.model, sorted(declarations.models)))
        if declared_account.models and model.name not in declared_account.models:
            return Failure(_forbidden(f"The account may not call {model.name}."))
        return self._build(
            completion_request, chat, declared_account, model, generation, declarations, body
        )

    def _build(
        self,
        completion_request: CompletionRequest,
        chat: bool,
        account: ClientAccount,
        model: Model,
        generation: GenerationId,
        declarations: Declarations,
        body: bytes,
    ) -> Result[tuple[CompletionRequest, GenerationRequest], Problem]:
        adapter = (
            declarations.adapters.get(completion_request.adapter)
            if completion_request.adapter
            else None
        )
        if completion_request.adapter and (adapter is None or adapter.model != model.name):
            return Failure(
                bad_request(f"No adapter {completion_request.adapter!r} is declared for the model.")
            )
        prompt = _chat_prompt(completion_request) if chat else completion_request.prompt
        if not prompt:
            field = "messages" if chat else "prompt"
            return Failure(bad_request(f"Send a {field} that is not empty."))
        prompt_tokens = max(1, len(prompt) // CHARS_PER_TOKEN)
        available_tokens = model.context_tokens - prompt_tokens
        if available_tokens < 1:
            return Failure(bad_request("Shorten the prompt; it fills the model's context."))
        max_tokens = min(
            completion_request.max_tokens or model.max_output_tokens,
            model.max_output_tokens,
            available_tokens,
        )
        prefix = prompt[: completion_request.prefix_chars]
        request = GenerationRequest(
            generation=generation,
            account=ClientAccountId(account.name),
            model=ModelId(model.name),
            version=model.version,
            adapter=completion_request.adapter,
            prompt=prompt,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            seed=(
                self._rng.randrange(MAX_SEED)
                if completion_request.seed is None
                else completion_request.seed
            ),
            priority=PRIORITY_RANK[account.priority],
            request_class=completion_request.request_class,
            prefix=_digest(prefix.encode(errors="replace")) if prefix else "",
            prefix_tokens=len(prefix) // CHARS_PER_TOKEN,
            whole=not completion_request.stream or model.delivery is Delivery.WHOLE,
            fingerprint=self.fingerprint(account=ClientAccountId(account.name), body=body),
        )
        return Success((completion_request, request))

    def fingerprint(self, *, account: ClientAccountId, body: bytes) -> str:
        """Return the fingerprint that identifies a body sent by an account.

        :param account: Client account that sent the request.
        :param body: Request body as received.
        """
        return fingerprint_of(key=self._fingerprint_key, account=account, body=body)


def bad_request(detail: str) -> Problem:
    """Return the problem for an invalid request.

    :param detail: One sentence that tells the caller how to correct the request.
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


def _chat_prompt(completion_request: CompletionRequest) -> str:
    return "\n".join(
        f"{message.role}: {message.content}" for message in completion_request.messages
    )


def _digest(data: bytes) -> str:
    return blake2b(data, digest_size=PREFIX_DIGEST_BYTES).hexdigest()
