"""Replay of traces in virtual time, with the daemon's own scheduler and others."""

from __future__ import annotations

from tanagerscale.replay._layouts import BASELINES
from tanagerscale.replay._layouts import POLICIES
from tanagerscale.replay._report import ReplayReport
from tanagerscale.replay._run import ReplayRun
from tanagerscale.replay._run import do_runs
from tanagerscale.replay._run import main
from tanagerscale.replay._run import run_replay
from tanagerscale.replay._settings import Case
from tanagerscale.replay._trace import TraceRequest
from tanagerscale.replay._trace import make_trace
from tanagerscale.replay._trace import read_trace
from tanagerscale.replay._trace import write_trace

__all__ = [
    "BASELINES",
    "POLICIES",
    "Case",
    "ReplayReport",
    "ReplayRun",
    "TraceRequest",
    "do_runs",
    "main",
    "make_trace",
    "read_trace",
    "run_replay",
    "write_trace",
]
