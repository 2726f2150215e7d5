"""What deciders know of the runs of others around restarts of hosts."""

from __future__ import annotations

import asyncio

import pytest

from testing._many_hosts import Fleet
from testing._many_hosts import Host
from testing._virtual_time import run_virtually

HOSTS = 9
GRACE_S = 7.3
POLL_S = 0.002


def _accepts(host: Host) -> bool:
    control = host.control
    return (
        not host.is_leaving
        and control.configuration.table is not None
        and control.roster.has_read
        and control.evacuations.has_read
    )


# Guards against hosts that decide with an empty ledger right after a start, and fill engines whose
# runs they do not know.
@pytest.mark.parametrize("rank", [0, 1, 3, 6])
def test_decider_knows_all_runs_when_a_host_has_just_started(rank: int) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start(count=HOSTS, domains=3)
        names = [one.host for one in fleet.hosts[0].control.directory.message().candidates]
        restarted = next(host for host in fleet.hosts if host.name == names[rank])
        others = [host for host in fleet.hosts if host is not restarted]
        for host in others:
            host.begin(f"run-{host.name}")
            host.answer(f"run-{host.name}")
        await asyncio.sleep(1)
        unknown: list[str] = []
        loop = asyncio.get_running_loop()
        began = loop.time()

        def look(event: str) -> None:
            by_name = {host.name: host for host in fleet.hosts}
            for host in fleet.hosts:
                decider = by_name.get(host.decider)
                if decider is None or not _accepts(host):
                    continue
                known = decider.total("e0").running
                if known != len(others):
                    unknown.append(
                        f"{loop.time() - began:.3f} {event}: {decider.name} decides for"
                        f" {host.name}, knows {known} of {len(others)}"
                    )

        async def watch(event: str, duration_s: float) -> None:
            for _ in range(int(duration_s / POLL_S)):
                await asyncio.sleep(POLL_S)
                look(event)

        domain = int(restarted.control.mesh.failure_domain.removeprefix("domain-"))
        cores = 2.15 if int(restarted.name[-3:]) < 6 else 0.5
        restarted.is_leaving = True
        restarted.control.mesh.send_heartbeat()
        await restarted.control.withdraw()
        await watch("stopping", GRACE_S)
        await fleet.kill(restarted)
        await watch("gone", 1.0)
        await fleet.add(restarted.name, domain, cores=cores)
        await watch("started", 3.0)
        assert unknown == [], f"{len(unknown)}: {unknown[:3]} ... {unknown[-2:]}"

    run_virtually(scenario())


# Guards against prompts that are placed on full engines by a decider that has just started.
@pytest.mark.parametrize("after_s", [0.01, 0.2])
@pytest.mark.parametrize("is_restarted", [False, True], ids=["settled", "restarted"])
def test_prompt_goes_to_the_engine_with_room_when_the_first_decider_has_just_started(
    is_restarted: bool, after_s: float
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start(count=HOSTS, domains=3)
        names = [one.host for one in fleet.hosts[0].control.directory.message().candidates]
        restarted = next(host for host in fleet.hosts if host.name == names[0])
        others = [host for host in fleet.hosts if host is not restarted]
        # Those with higher ids connect 0.5 s later.
        late = [host for host in others if host.name > names[0]][-3:]
        early = [host for host in others if host.name < names[0]]
        for host in late:
            for number in range(3):
                host.begin(f"run-{host.name}-{number}", at="e0", tokens=3400)
                host.answer(f"run-{host.name}-{number}", tokens=3400)
        for number in range(3):
            early[0].begin(f"run-{number}", at="e1", tokens=3400)
            early[0].answer(f"run-{number}", tokens=3400)
        await asyncio.sleep(1)
        if is_restarted:
            domain = int(restarted.control.mesh.failure_domain.removeprefix("domain-"))
            cores = 2.15 if int(restarted.name[-3:]) < 6 else 0.5
            restarted.is_leaving = True
            restarted.control.mesh.send_heartbeat()
            await restarted.control.withdraw()
            await asyncio.sleep(GRACE_S)
            await fleet.kill(restarted)
            await asyncio.sleep(1.0)
            await fleet.add(restarted.name, domain, cores=cores)
        await asyncio.sleep(after_s)
        asker = early[0]
        by = asker.decider
        answer = await asker.ask("new", prompt=3000)
        knows = {host.name: host.total("e0").running for host in fleet.hosts if host.name == by}
        assert answer.upstream == "e1", (answer.upstream, asker.name, by, knows, 3 * len(late))

    run_virtually(scenario())
