"""Common building blocks: identifiers, clock, error types, logging and task diagnostics."""

from __future__ import annotations

from tanagerscale.core._clock import MS_PER_SECOND
from tanagerscale.core._clock import Clock
from tanagerscale.core._clock import Millis
from tanagerscale.core._clock import WallMillis
from tanagerscale.core._containment import record_unexpected_error
from tanagerscale.core._containment import run_contained
from tanagerscale.core._containment import unexpected_errors
from tanagerscale.core._decoding import attempt_decoding
from tanagerscale.core._decoding import decode_json
from tanagerscale.core._error_metrics import UnexpectedErrorCollector
from tanagerscale.core._errors import Execution
from tanagerscale.core._errors import Problem
from tanagerscale.core._errors import ProblemKind
from tanagerscale.core._ids import AttemptId
from tanagerscale.core._ids import ClientAccountId
from tanagerscale.core._ids import FailureDomainId
from tanagerscale.core._ids import GenerationId
from tanagerscale.core._ids import HostId
from tanagerscale.core._ids import ModelId
from tanagerscale.core._ids import RegionId
from tanagerscale.core._ids import RequestId
from tanagerscale.core._ids import Revision
from tanagerscale.core._ids import ServiceId
from tanagerscale.core._ids import UpstreamId
from tanagerscale.core._ids import UpstreamName
from tanagerscale.core._ids import new_id
from tanagerscale.core._line_log import JsonLinesHandler
from tanagerscale.core._line_log import set_up_json_lines_log
from tanagerscale.core._log import get_logger
from tanagerscale.core._log import set_up_logging
from tanagerscale.core._numbers import Amount
from tanagerscale.core._numbers import BoundedFloat
from tanagerscale.core._numbers import BoundedInt
from tanagerscale.core._numbers import Count
from tanagerscale.core._numbers import UnixMillis
from tanagerscale.core._numbers import parse_number
from tanagerscale.core._reads import finish_within
from tanagerscale.core._reads import read_within
from tanagerscale.core._resident_memory import ResidentMemory
from tanagerscale.core._signals import defer_signals
from tanagerscale.core._signals import get_stop_signal_time
from tanagerscale.core._signals import handle_signals
from tanagerscale.core._signals import hold_signals
from tanagerscale.core._sockets import enable_tcp_keepalive
from tanagerscale.core._start_failures import FailedStartCollector
from tanagerscale.core._start_failures import record_failed_start
from tanagerscale.core._task_monitor import TaskMonitor
from tanagerscale.core._tasks import TaskStackGroup
from tanagerscale.core._tasks import group_tasks_by_stack
from tanagerscale.core._tasks import log_tasks
from tanagerscale.core._unread_input import find_unread

__all__ = [
    "MS_PER_SECOND",
    "Amount",
    "AttemptId",
    "BoundedFloat",
    "BoundedInt",
    "ClientAccountId",
    "Clock",
    "Count",
    "Execution",
    "FailedStartCollector",
    "FailureDomainId",
    "GenerationId",
    "HostId",
    "JsonLinesHandler",
    "Millis",
    "ModelId",
    "Problem",
    "ProblemKind",
    "RegionId",
    "RequestId",
    "ResidentMemory",
    "Revision",
    "ServiceId",
    "TaskMonitor",
    "TaskStackGroup",
    "UnexpectedErrorCollector",
    "UnixMillis",
    "UpstreamId",
    "UpstreamName",
    "WallMillis",
    "attempt_decoding",
    "decode_json",
    "defer_signals",
    "enable_tcp_keepalive",
    "find_unread",
    "finish_within",
    "get_logger",
    "get_stop_signal_time",
    "group_tasks_by_stack",
    "handle_signals",
    "hold_signals",
    "log_tasks",
    "new_id",
    "parse_number",
    "read_within",
    "record_failed_start",
    "record_unexpected_error",
    "run_contained",
    "set_up_json_lines_log",
    "set_up_logging",
    "unexpected_errors",
]
