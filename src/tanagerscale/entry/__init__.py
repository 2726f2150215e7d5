"""HTTP interface of a host for callers."""

from __future__ import annotations

from tanagerscale.entry._app import AccountAuthenticator
from tanagerscale.entry._app import Admission
from tanagerscale.entry._app import CallerApi
from tanagerscale.entry._app import CallerApiContext
from tanagerscale.entry._completions import CompletionContext
from tanagerscale.entry._completions import CompletionHandlers
from tanagerscale.entry._requests import RequestChecker

__all__ = [
    "AccountAuthenticator",
    "Admission",
    "CallerApi",
    "CallerApiContext",
    "CompletionContext",
    "CompletionHandlers",
    "RequestChecker",
]
