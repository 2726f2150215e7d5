"""Quarantine for requests that may crash the upstreams that run them.

Every request that was running on an engine when the engine crashed is a suspect. After one host
has detected a crash, each suspect of it runs on one engine at a time, apart from other suspects,
on whichever host its caller repeats it. The same request generates the same tokens, so a second
crash at about the same token convicts it. A request that crashes engines at one position of its
answer therefore costs two engines, and one that crashes them at arbitrary positions costs three.
A harmless request that runs on two engines that crash for other reasons is at different positions,
so it may run a third time.

Limits:

* Copies of one request that several hosts sent to different engines before the first crash are
  not stopped if they crash within the few milliseconds that the verdict takes to reach the peers.
  ``Quarantine.stops`` reports copies that run longer.
* A request whose body changes between repeats has a new fingerprint each time.
* A suspect that is retried on the same engine as another request that crashes engines, and that is
  not yet a suspect, is convicted in place of that request.
"""

from __future__ import annotations

from tanagerscale.quarantine._attribution import Conviction
from tanagerscale.quarantine._attribution import Run
from tanagerscale.quarantine._quarantine import Quarantine
from tanagerscale.quarantine._rules import Crash
from tanagerscale.quarantine._rules import Fingerprint
from tanagerscale.quarantine._rules import StopRequest
from tanagerscale.quarantine._rules import fingerprint_of
from tanagerscale.quarantine._runs import RunEnd
from tanagerscale.quarantine._suspect_keys import SuspectKey
from tanagerscale.quarantine._suspect_keys import part_keys
from tanagerscale.quarantine._suspect_keys import request_key
from tanagerscale.quarantine._suspects import SuspectTracker

__all__ = [
    "Conviction",
    "Crash",
    "Fingerprint",
    "Quarantine",
    "Run",
    "RunEnd",
    "StopRequest",
    "SuspectKey",
    "SuspectTracker",
    "fingerprint_of",
    "part_keys",
    "request_key",
]
