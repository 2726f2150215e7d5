"""Replays request traces in simulated time with the daemon's scheduler or a baseline policy."""

from __future__ import annotations

from tanagerscale.replay._layouts import BASELINES
from tanagerscale.replay._layouts import POLICIES
from tanagerscale.replay._report import ReplayReport
from tanagerscale.replay._run import ReplayRun
from tanagerscale.replay._run import execute_runs
from tanagerscale.replay._run import main
from tanagerscale.replay._run import run_replay
from tanagerscale.replay._settings import FaultCase
from tanagerscale.replay._trace import TraceRequest
from tanagerscale.replay._trace import generate_trace
from tanagerscale.replay._trace import read_trace
from tanagerscale.replay._trace import write_trace

__all__ = [
    "BASELINES",
    "POLICIES",
    "FaultCase",
    "ReplayReport",
    "ReplayRun",
    "TraceRequest",
    "execute_runs",
    "generate_trace",
    "main",
    "read_trace",
    "run_replay",
    "write_trace",
]
