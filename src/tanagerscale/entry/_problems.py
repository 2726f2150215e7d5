"""Responses that report a failure as RFC 9457 problem details."""

from __future__ import annotations

import math

from aiohttp import web
import msgspec

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.generated.callers import ProblemDetails

PROBLEM_CONTENT_TYPE = "application/problem+json"
PROBLEM_TYPE_PREFIX = "urn:tanagerscale:problem:"

STATUS_BY_KIND = {
    ProblemKind.BAD_REQUEST: 400,
    ProblemKind.UNAUTHORIZED: 401,
    ProblemKind.FORBIDDEN: 403,
    ProblemKind.NOT_FOUND: 404,
    ProblemKind.TOO_LARGE: 413,
    ProblemKind.LIMITED: 429,
    ProblemKind.OVERLOADED: 503,
    ProblemKind.STOPPING: 503,
    ProblemKind.NO_UPSTREAM: 503,
    ProblemKind.UPSTREAM_FAILED: 502,
    ProblemKind.GENERATION_LOST: 502,
    ProblemKind.QUARANTINED: 422,
    ProblemKind.STORE_UNAVAILABLE: 503,
    ProblemKind.IN_PROGRESS: 409,
    ProblemKind.KEY_REUSED: 422,
    ProblemKind.OUTCOME_UNKNOWN: 502,
    ProblemKind.CURSOR_REFUSED: 403,
    ProblemKind.TIMEOUT: 504,
    ProblemKind.INTERNAL: 500,
}


def build_problem_details(*, problem: Problem, request_id: str) -> ProblemDetails:
    """Return the problem details for a problem.

    :param problem: Problem to report.
    :param request_id: Id that identifies the request in logs.
    """
    return ProblemDetails(
        type=PROBLEM_TYPE_PREFIX + problem.kind.value,
        title=problem.kind.value.replace("-", " ").capitalize(),
        status=STATUS_BY_KIND[problem.kind],
        detail=problem.detail,
        execution=problem.execution.value,
        request_id=request_id,
        retry_after_ms=problem.retry_after_ms,
    )


def problem_response(*, problem: Problem, request_id: str) -> web.Response:
    """Return the HTTP response for a problem; Retry-After is in whole seconds, rounded up.

    :param problem: Problem to report.
    :param request_id: Id that identifies the request in logs.
    """
    details = build_problem_details(problem=problem, request_id=request_id)
    headers = {"X-Request-Id": request_id}
    if problem.retry_after_ms is not None:
        headers["Retry-After"] = str(math.ceil(problem.retry_after_ms / MS_PER_SECOND))
    return web.Response(
        status=details.status,
        body=msgspec.json.encode(details),
        content_type=PROBLEM_CONTENT_TYPE,
        headers=headers,
    )


def problem_event(*, problem: Problem, request_id: str) -> bytes:
    """Return the event that ends a started stream in place of the end marker.

    :param problem: Problem to report.
    :param request_id: Id that identifies the request in logs.
    """
    details = build_problem_details(problem=problem, request_id=request_id)
    return b"event: error\ndata: " + msgspec.json.encode(details) + b"\n\n"
