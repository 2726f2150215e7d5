"""HTTP interface of a host."""

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
from tanagerscale.entry._completions import CompletionHandlers
from tanagerscale.entry._limits import AccountLimiter
from tanagerscale.entry._problems import problem_response
from tanagerscale.entry._running import Interruption
from tanagerscale.entry._running import RunningRequests
from tanagerscale.generated.callers import HostStatus
from tanagerscale.generated.settings import LimitsSection
from tanagerscale.services import ServiceDispatch
from tanagerscale.upstreams import ServiceCall

NOT_READY_RETRY_AFTER_MS = 1000
INTERNAL_ERROR_RETRY_AFTER_MS = 2000
BEARER_PREFIX = "Bearer "
MAX_KEY_CHARS = 512
CLIENT_CLOSED_REQUEST_STATUS = 499
"""Status of a response whose caller has disconnected; no caller receives it."""
MAX_IDEMPOTENCY_KEY_CHARS = 256

_log = get_logger(part="entry")

Handler = Callable[[web.Request, ClientAccountId], Awaitable[web.StreamResponse]]


class AccountAuthenticator(Protocol):
    """Authenticates callers by their key."""

    async def check(self, *, bearer: str) -> ClientAccountId | None:
        """Return the client account of a key, or ``None`` if the key is unknown."""


class Admission(Protocol):
    """Limits the number of concurrent requests on this host."""

    def admit(self, *, account: ClientAccountId) -> Problem | None:
        """Admit a request, or return the problem to reject it with."""

    def release(self, *, account: ClientAccountId) -> None:
        """Release the slot of an admitted request."""


class CallerApiContext(Struct, frozen=True, kw_only=True):
    """Dependencies of the HTTP interface.

    :param keys: Authenticates callers by their keys.
    :param admission: Limits concurrent requests on this host.
    :param account_limits: Enforces the limits of client accounts.
    :param completions: Handles completion requests.
    :param services: Dispatches calls to plain services.
    :param declarations: Returns the declarations in force, or ``None`` if there are none yet.
    :param status: Returns the current status of the host.
    :param is_leaving: Returns whether the host is in a graceful shutdown.
    :param usage: Returns the usage of all client accounts as JSON.
    :param registry: Registry of the exported metrics.
    :param limits: ``[limits]`` section of the settings.
    """

    keys: AccountAuthenticator
    admission: Admission
    account_limits: AccountLimiter
    completions: CompletionHandlers
    services: ServiceDispatch
    declarations: Callable[[], Declarations | None]
    status: Callable[[], HostStatus]
    is_leaving: Callable[[], bool]
    usage: Callable[[], bytes]
    registry: CollectorRegistry
    limits: LimitsSection


@final
class CallerApi:
    """Routes HTTP requests to their handlers.

    :param context: Dependencies of the handlers.
    """

    def __init__(self, *, context: CallerApiContext) -> None:
        self._context = context
        self._running = RunningRequests()

    def interrupt(self) -> None:
        """Answer all requests whose response has not started with a problem, before a host stop.

        A claimed call that is interrupted continues, so claimed calls must be drained first, and no
        other task may run in between.
        """
        self._running.interrupt()

    def application(self) -> web.Application:
        """Return the aiohttp application with all routes."""
        app = web.Application(
            client_max_size=self._context.limits.body_bytes,
            middlewares=[self._close_when_leaving, _convert_errors],
        )
        app.on_response_prepare.append(self._on_response_prepare)
        app.router.add_post("/v1/completions", self._with_admission(self._complete))
        app.router.add_post("/v1/chat/completions", self._with_admission(self._chat))
        resume = self._with_admission(self._resume, refusal_execution=Execution.UNKNOWN)
        app.router.add_get("/v1/completions/{request_id}/events", resume)
        app.router.add_post("/v1/completions/{request_id}/events", resume)
        service = self._with_admission(self._service, interruption=_CALL_INTERRUPTED)
        app.router.add_route("*", "/services/{service}", service)
        app.router.add_route("*", "/services/{service}/{path:.*}", service)
        app.router.add_get("/v1/status", self._status)
        app.router.add_get("/v1/usage", self._usage)
        app.router.add_get("/healthz", self._healthz)
        app.router.add_get("/readyz", self._readyz)
        app.router.add_get("/metrics", self._metrics)
        return app

    @web.middleware
    async def _close_when_leaving(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Close the connection after each response of a stopping host.

        The next request on an open connection could arrive when the host closes it.
        """
        response = await handler(request)
        if self._context.is_leaving():
            response.force_close()
        return response

    async def _on_response_prepare(
        self, request: web.Request, _response: web.StreamResponse
    ) -> None:
        self._running.on_response_started(request=request)

    def _with_admission(
        self,
        handler: Handler,
        *,
        refusal_execution: Execution = Execution.NOT_EXECUTED,
        interruption: Problem | None = None,
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """Wrap a handler with readiness check, authentication and admission.

        :param handler: Handles admitted requests.
        :param refusal_execution: Execution state reported when the request is rejected. It differs
            for resumed streams, whose original request has already run.
        :param interruption: Problem reported when the host stops before the handler has ended;
            ``None`` for that of completions.
        """

        async def handle_admitted(request: web.Request) -> web.StreamResponse:
            account = None
            problem = self._check_readiness()
            if problem is None:
                account = await self._authenticate(request)
                problem = _UNAUTHORIZED if account is None else None
                # A shutdown that began meanwhile no longer waits for this request.
                problem = _STOPPING if self._context.is_leaving() else problem
            if problem is None and account is not None:
                problem = self._context.admission.admit(account=account)
            if problem is not None or account is None:
                refusal_problem = replace(problem or _UNAUTHORIZED, execution=refusal_execution)
                return problem_response(problem=refusal_problem, request_id=new_id(prefix="req"))
            try:
                response = await self._running.run(
                    request=request, handling=handler(request, account)
                )
            finally:
                self._context.admission.release(account=account)
            if not isinstance(response, Interruption):
                return response
            problem = interruption or _COMPLETION_INTERRUPTED
            if response is Interruption.NOT_EXECUTED:
                problem = replace(_STOPPING, execution=refusal_execution)
            return problem_response(problem=problem, request_id=new_id(prefix="req"))

        return handle_admitted

    def _check_readiness(self) -> Problem | None:
        status = self._context.status()
        if status.leaving:
            return _STOPPING
        return None if status.ready else _STARTING

    async def _authenticate(self, request: web.Request) -> ClientAccountId | None:
        header = request.headers.get("Authorization", "")
        if not header.startswith(BEARER_PREFIX) or len(header) > MAX_KEY_CHARS:
            return None
        return await self._context.keys.check(bearer=header.removeprefix(BEARER_PREFIX))

    async def _complete(self, request: web.Request, account: ClientAccountId) -> web.StreamResponse:
        return await self._context.completions.complete(
            request=request, account=account, chat=False
        )

    async def _chat(self, request: web.Request, account: ClientAccountId) -> web.StreamResponse:
        return await self._context.completions.complete(request=request, account=account, chat=True)

    async def _resume(self, request: web.Request, account: ClientAccountId) -> web.StreamResponse:
        return await self._context.completions.resume(request=request, account=account)

    async def _service(self, request: web.Request, account: ClientAccountId) -> web.StreamResponse:
        request_id = new_id(prefix="call")
        name = ServiceId(request.match_info["service"])
        key = request.headers.get("Idempotency-Key", "")
        problem = self._check_service_request(name, account, key)
        if problem is None:
            problem = self._context.account_limits.start(account=account, tokens=0)
        declarations = self._context.declarations()
        if problem is not None or declarations is None:
            return problem_response(problem=problem or _STARTING, request_id=request_id)
        # The raw path preserves the percent-encoding chosen by the caller.
        path = request.raw_path.removeprefix("/services/").partition("/")[2]
        call = ServiceCall(
            method=request.method,
            path="/" + path,
            headers=tuple(request.headers.items()),
            body=await request.read(),
        )
        try:
            result = await self._context.services.call(
                service=declarations.services[name], account=account, key=key, call=call
            )
        finally:
            self._context.account_limits.finish(account=account, tokens=0)
        match result:
            case Success(response):
                headers = [item for item in response.headers if item[0].lower() != "x-request-id"]
                headers.append(("X-Request-Id", request_id))
                return web.Response(status=response.status, body=response.body, headers=headers)
            case Failure(refusal):
                return problem_response(problem=refusal, request_id=request_id)
        raise AssertionError("Result is neither Success nor Failure")

    def _check_service_request(
        self, name: ServiceId, account: ClientAccountId, key: str
    ) -> Problem | None:
        declarations = self._context.declarations()
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
        body = msgspec.json.encode(self._context.status())
        return web.Response(body=body, content_type="application/json")

    async def _usage(self, _request: web.Request) -> web.Response:
        return web.Response(body=self._context.usage(), content_type="application/json")

    async def _healthz(self, _request: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _readyz(self, _request: web.Request) -> web.Response:
        status = self._context.status()
        if status.ready and not status.leaving:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="leaving\n" if status.leaving else "starting\n")

    async def _metrics(self, _request: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(self._context.registry),
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
    retry_after_ms=NOT_READY_RETRY_AFTER_MS,
)
_STOPPING = Problem(
    kind=ProblemKind.STOPPING,
    detail="This host is stopping; go to another host.",
    execution=Execution.NOT_EXECUTED,
    retry_after_ms=NOT_READY_RETRY_AFTER_MS,
)
_COMPLETION_INTERRUPTED = Problem(
    kind=ProblemKind.STOPPING,
    detail="This host stopped before the answer was complete; send the request to another host.",
    execution=Execution.UNKNOWN,
    retry_after_ms=NOT_READY_RETRY_AFTER_MS,
)
_CALL_INTERRUPTED = Problem(
    kind=ProblemKind.OUTCOME_UNKNOWN,
    detail="This host stopped before the service answered; repeat the call only if it is "
    "idempotent or has an Idempotency-Key, else ask the service first.",
    execution=Execution.UNKNOWN,
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
    retry_after_ms=INTERNAL_ERROR_RETRY_AFTER_MS,
)


@web.middleware
async def _convert_errors(
    request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
) -> web.StreamResponse:
    """Convert exceptions raised by handlers to problem details."""
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
        _log.info("Caller disconnected before the end of the response.")
        return web.Response(status=CLIENT_CLOSED_REQUEST_STATUS)
    except Exception:
        request_id = new_id(prefix="req")
        _log.exception("Unhandled exception in a request handler.", request=request_id)
        return problem_response(problem=_INTERNAL, request_id=request_id)
