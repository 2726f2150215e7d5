"""The HTTP interface of a host."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol
from typing import final

from aiohttp import web
import msgspec
from msgspec import Struct
from msgspec.structs import replace
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import CollectorRegistry
from prometheus_client import generate_latest
from returns.result import Failure
from returns.result import Success

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Execution
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.core import ServiceId
from tanagerscale.core import get_logger
from tanagerscale.core import new_id
from tanagerscale.declarations import Declarations
from tanagerscale.entry._completions import Completions
from tanagerscale.entry._limits import AccountLimiter
from tanagerscale.entry._problems import problem_response
from tanagerscale.generated.callers import HostStatus
from tanagerscale.generated.settings import LimitsSection
from tanagerscale.services import ServiceDispatch
from tanagerscale.upstreams import ServiceCall

RETRY_ELSEWHERE_MS = 1000
RETRY_BUSY_MS = 2000
BEARER = "Bearer "
MAX_KEY_CHARS = 512
CALLER_LEFT_STATUS = 499
"""Nobody receives it; the connection is gone."""
MAX_IDEMPOTENCY_KEY_CHARS = 256

_log = get_logger(part="entry")

Handler = Callable[[web.Request, ClientAccountId], Awaitable[web.StreamResponse]]


class KeyCheck(Protocol):
    """Finds the client account of a key."""

    async def check(self, *, bearer: str) -> ClientAccountId | None:
        """Return the account, or ``None`` for an unknown key."""


class Admission(Protocol):
    """Decides at the door whether a request may come in."""

    def admit(self, *, account: ClientAccountId) -> Problem | None:
        """Count a request in, or return the final answer that refuses it."""

    def leave(self, *, account: ClientAccountId) -> None:
        """Count a request out."""


class EntryParts(Struct, frozen=True, kw_only=True):
    """What the HTTP interface uses.

    :param keys: Finds accounts.
    :param admission: Decides at the door.
    :param account_limits: Limits of accounts.
    :param completions: Serves completions.
    :param services: Serves plain services.
    :param declarations: Returns what is in force, or ``None`` before anything is.
    :param status: Returns the host's status.
    :param usage: Returns what accounts have used, as JSON text.
    :param registry: Metrics.
    :param limits: What the host takes at most.
    """

    keys: KeyCheck
    admission: Admission
    account_limits: AccountLimiter
    completions: Completions
    services: ServiceDispatch
    declarations: Callable[[], Declarations | None]
    status: Callable[[], HostStatus]
    usage: Callable[[], bytes]
    registry: CollectorRegistry
    limits: LimitsSection


@final
class Entry:
    """Routes callers' requests to their handlers.

    :param parts: What the handlers use.
    """

    def __init__(self, *, parts: EntryParts) -> None:
        self._parts = parts

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(
            client_max_size=self._parts.limits.body_bytes, middlewares=[_final_answers]
        )
        app.router.add_post("/v1/completions", self._guarded(self._complete))
        app.router.add_post("/v1/chat/completions", self._guarded(self._chat))
        resume = self._guarded(self._resume, refusals=Execution.UNKNOWN)
        app.router.add_get("/v1/completions/{request_id}/events", resume)
        app.router.add_post("/v1/completions/{request_id}/events", resume)
        app.router.add_route("*", "/services/{service}", self._guarded(self._service))
        app.router.add_route("*", "/services/{service}/{path:.*}", self._guarded(self._service))
        app.router.add_get("/v1/status", self._status)
        app.router.add_get("/v1/usage", self._usage)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/metrics", self._metrics)
        return app

    def _guarded(
        self, handler: Handler, *, refusals: Execution = Execution.NOT_EXECUTED
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """Let a request in and out at the door.

        :param handler: Answers it.
        :param refusals: What a refusal says of the execution; a continuation's request ran.
        """

        async def guarded(request: web.Request) -> web.StreamResponse:
            account = None
            problem = self._host_problem()
            if problem is None:
                account = await self._account(request)
                problem = _UNAUTHORIZED if account is None else None
            if problem is None and account is not None:
                problem = self._parts.admission.admit(account=account)
            if problem is not None or account is None:
                told = replace(problem or _UNAUTHORIZED, execution=refusals)
                return problem_response(problem=told, request_id=new_id(prefix="req"))
            try:
                return await handler(request, account)
            finally:
                self._parts.admission.leave(account=account)

        return guarded

    def _host_problem(self) -> Problem | None:
        status = self._parts.status()
        if status.leaving:
            return _STOPPING
        return None if status.ready else _STARTING

    async def _account(self, request: web.Request) -> ClientAccountId | None:
        header = request.headers.get("Authorization", "")
        if not header.startswith(BEARER) or len(header) > MAX_KEY_CHARS:
            return None
        return await self._parts.keys.check(bearer=header.removeprefix(BEARER))

    async def _complete(self, request: web.Request, account: ClientAccountId) -> web.StreamResponse:
        return await self._parts.completions.complete(request=request, account=account, chat=False)

    async def _chat(self, request: web.Request, account: ClientAccountId) -> web.StreamResponse:
        return await self._parts.completions.complete(request=request, account=account, chat=True)

    async def _resume(self, request: web.Request, account: ClientAccountId) -> web.StreamResponse:
        return await self._parts.completions.resume(request=request, account=account)

    async def _service(self, request: web.Request, account: ClientAccountId) -> web.StreamResponse:
        request_id = new_id(prefix="call")
        name = ServiceId(request.match_info["service"])
        key = request.headers.get("Idempotency-Key", "")
        problem = self._service_problem(name, account, key)
        if problem is None:
            problem = self._parts.account_limits.start(account=account, tokens=0)
        declarations = self._parts.declarations()
        if problem is not None or declarations is None:
            return problem_response(problem=problem or _STARTING, request_id=request_id)
        # The raw path keeps what the caller encoded.
        path = request.raw_path.removeprefix("/services/").partition("/")[2]
        call = ServiceCall(
            method=request.method,
            path="/" + path,
            headers=tuple(request.headers.items()),
            body=await request.read(),
        )
        try:
            result = await self._parts.services.call(
                service=declarations.services[name], account=account, key=key, call=call
            )
        finally:
            self._parts.account_limits.finish(account=account, tokens=0)
        match result:
            case Success(reply):
                headers = [item for item in reply.headers if item[0].lower() != "x-request-id"]
                headers.append(("X-Request-Id", request_id))
                return web.Response(status=reply.status, body=reply.body, headers=headers)
            case Failure(refusal):
                return problem_response(problem=refusal, request_id=request_id)
        raise AssertionError("A Result is a Success or a Failure.")

    def _service_problem(
        self, name: ServiceId, account: ClientAccountId, key: str
    ) -> Problem | None:
        declarations = self._parts.declarations()
        if declarations is None:
            return _STARTING
        if name not in declarations.services:
            return Problem(
                kind=ProblemKind.NOT_FOUND,
                detail=f"Ask for one of {', '.join(sorted(declarations.services))}.",
                execution=Execution.NOT_EXECUTED,
            )
        declared = declarations.accounts.get(account)
        if declared is None or (declared.services and name not in declared.services):
            return Problem(
                kind=ProblemKind.FORBIDDEN,
                detail="The account may not call this service; ask the operators.",
                execution=Execution.NOT_EXECUTED,
            )
        if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
            return Problem(
                kind=ProblemKind.BAD_REQUEST,
                detail=f"Keep the Idempotency-Key within {MAX_IDEMPOTENCY_KEY_CHARS} characters.",
                execution=Execution.NOT_EXECUTED,
            )
        return None

    async def _status(self, _request: web.Request) -> web.Response:
        body = msgspec.json.encode(self._parts.status())
        return web.Response(body=body, content_type="application/json")

    async def _usage(self, _request: web.Request) -> web.Response:
        return web.Response(body=self._parts.usage(), content_type="application/json")

    async def _healthz(self, _request: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _readyz(self, _request: web.Request) -> web.Response:
        status = self._parts.status()
        if status.ready and not status.leaving:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="leaving\n" if status.leaving else "starting\n")

    async def _metrics(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(self._parts.registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )


_UNAUTHORIZED = Problem(
    kind=ProblemKind.UNAUTHORIZED,
    detail="Send the account's key as 'Authorization: Bearer ACCOUNT.SECRET'.",
    execution=Execution.NOT_EXECUTED,
)
_STARTING = Problem(
    kind=ProblemKind.STOPPING,
    detail="This host does not know the declarations yet; go to another host.",
    execution=Execution.NOT_EXECUTED,
    retry_after_ms=RETRY_ELSEWHERE_MS,
)
_STOPPING = Problem(
    kind=ProblemKind.STOPPING,
    detail="This host is stopping; go to another host.",
    execution=Execution.NOT_EXECUTED,
    retry_after_ms=RETRY_ELSEWHERE_MS,
)
_TOO_LARGE = Problem(
    kind=ProblemKind.TOO_LARGE,
    detail="Send a smaller body; the limit is body_bytes in the host's settings.",
    execution=Execution.NOT_EXECUTED,
)
_INTERNAL = Problem(
    kind=ProblemKind.INTERNAL,
    detail="The host failed on this request; report its request id to the operators.",
    execution=Execution.UNKNOWN,
    retry_after_ms=RETRY_BUSY_MS,
)


@web.middleware
async def _final_answers(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Turn what handlers raise into problem details."""
    try:
        return await handler(request)
    except web.HTTPRequestEntityTooLarge:
        return problem_response(problem=_TOO_LARGE, request_id=new_id(prefix="req"))
    except web.HTTPException as error:
        kind = ProblemKind.NOT_FOUND if error.status == 404 else ProblemKind.BAD_REQUEST
        problem = Problem(
            kind=kind,
            detail=f"{error.reason}; see docs/API.md for what a host answers.",
            execution=Execution.NOT_EXECUTED,
        )
        return problem_response(problem=problem, request_id=new_id(prefix="req"))
    except ConnectionError:
        _log.info("A caller left before the end of its answer.")
        return web.Response(status=CALLER_LEFT_STATUS)
    except Exception:
        request_id = new_id(prefix="req")
        _log.exception("A request failed.", request=request_id)
        return problem_response(problem=_INTERNAL, request_id=request_id)
