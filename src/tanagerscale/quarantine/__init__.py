"""Requests that may crash the upstreams that run them.

What is covered: once one host has seen a crash, its suspects run again only one at a time, on one
engine, away from other suspects of that crash, at whatever host their callers repeat them; a
second crash at about the same token convicts, for the same request makes the same tokens. So two
engines are lost to a request that crashes them at one place of its answer, and three to one that
crashes them anywhere. An innocent request that runs on two engines which die for other causes is
at different places, and gets a third chance. What is not: copies of one request that several
hosts had already sent to different engines before the first of them crashed, if they crash within
the few milliseconds that the word takes to spread. Copies that live longer are reported by
``Quarantine.stops``. A request whose body changes between repeats has a new fingerprint each
time. A suspect that shares its retry's engine with another request that crashes engines, and was
no suspect yet, is convicted in its place.
"""

from __future__ import annotations

from tanagerscale.quarantine._quarantine import Quarantine
from tanagerscale.quarantine._rules import Crash
from tanagerscale.quarantine._rules import Fingerprint
from tanagerscale.quarantine._rules import StopRequest
from tanagerscale.quarantine._rules import fingerprint_of
from tanagerscale.quarantine._runs import RunEnd
from tanagerscale.quarantine._suspects import Suspects

__all__ = [
    "Crash",
    "Fingerprint",
    "Quarantine",
    "RunEnd",
    "StopRequest",
    "Suspects",
    "fingerprint_of",
]
