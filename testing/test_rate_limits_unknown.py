"""Rate limits of upstreams that the decider doesn't know yet."""

from __future__ import annotations

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import RequestClass
from tanagerscale.upstreams import RateObservation
from testing._gateway_fakes import make_gateway_fakes
from testing._virtual_time import run_virtually

UPSTREAM = UpstreamId("new")


# A decider that the store didn't answer permitted every request to a new upstream, although hosts
# had told it of the limit.
def test_rate_limit_holds_when_the_decider_does_not_know_the_upstream() -> None:
    async def scenario() -> int:
        fakes = make_gateway_fakes()
        fakes.context.named_limits.record(
            RateObservation(
                upstream=UPSTREAM, rate_per_s=0.3, sent_at=Millis(0), received_at=Millis(0)
            )
        )
        permits = [
            await fakes.single_host.client.rate_permits.acquire(
                upstreams=[UPSTREAM], kind=RequestClass.PLAIN
            )
            for _ in range(20)
        ]
        return sum(permit.may_send for permit in permits)

    assert run_virtually(scenario()) == 1
