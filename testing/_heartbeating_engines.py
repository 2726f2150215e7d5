"""Engines that write their entries again and again, and a store that comes back from a copy."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field

from testing._many_hosts import CONFIGURATION_KEY
from testing._many_hosts import REGISTRY_PREFIX
from testing._many_hosts import Fleet
from testing._many_hosts import Host

HEARTBEAT_S = 1.2
ENTRY_TTL_S = 3 * HEARTBEAT_S
"""Time without a heartbeat after which the entry of an engine is removed."""
AWAY_S = 1.0
"""How long the store is away before it comes back."""
OPERATOR_DELAY_S = 1.5
"""Time after the return in which operators have written again what they wrote."""
OBSERVATION_INTERVAL_S = 0.05


@dataclass(kw_only=True, eq=False)
class Engines:
    """Writes the entries of engines as they do, and removes those of engines that have ended.

    :param fleet: Store and hosts.
    :param states: State of each engine that lives.
    """

    fleet: Fleet
    states: dict[str, str] = field(default_factory=dict)
    sequences: dict[str, int] = field(default_factory=dict)
    _written_at: dict[str, float] = field(default_factory=dict)

    async def run(self) -> None:
        """Write heartbeats forever; an entry without any is removed after some time."""
        while True:
            for name in list(self.states):
                self.beat(name)
            now = asyncio.get_running_loop().time()
            for key in [
                key for key in self.fleet.backend.entries if key.startswith(REGISTRY_PREFIX)
            ]:
                name = key.removeprefix(REGISTRY_PREFIX)
                if name not in self.states and now - self._written_at.get(name, now) >= ENTRY_TTL_S:
                    self.fleet.remove_engine(name)
            await asyncio.sleep(HEARTBEAT_S)

    def beat(self, name: str, state: str | None = None) -> None:
        """Write the entry of an engine, in a new state if one is given."""
        if state is not None:
            self.states[name] = state
        self.sequences[name] = self.sequences.get(name, 0) + 1
        self._written_at[name] = asyncio.get_running_loop().time()
        self.fleet.set_engine(name, state=self.states[name], sequence=self.sequences[name])

    def end(self, name: str, *, removes_entry: bool = True) -> None:
        """End an engine."""
        del self.states[name]
        if removes_entry:
            self.fleet.remove_engine(name)

    def refresh_expiry(self) -> None:
        """Let the entries that came back with a copy expire as if they had just been written."""
        now = asyncio.get_running_loop().time()
        self._written_at = dict.fromkeys(self._written_at, now)


async def return_from_copy(
    fleet: Fleet, engines: Engines, *, copy_age_s: float, away_s: float = AWAY_S
) -> None:
    """Let the store go away and come back from a copy.

    :param fleet: Store and hosts.
    :param engines: The engines, whose entries expire anew.
    :param copy_age_s: Time from the copy to the loss of the store.
    :param away_s: How long the store is away; 0 keeps its connections.
    """
    copy = fleet.backend.copy()
    await asyncio.sleep(copy_age_s)
    if away_s:
        set_store_down(fleet, down=True)
        await asyncio.sleep(away_s)
    fleet.backend.come_back_from(copy)
    engines.refresh_expiry()
    set_store_down(fleet, down=False)
    value = fleet.backend.entries[CONFIGURATION_KEY].value.decode()
    fleet.write(CONFIGURATION_KEY, value)


def set_store_down(fleet: Fleet, *, down: bool) -> None:
    """Make the store unreachable or reachable for all hosts."""
    for host in fleet.hosts:
        host.store.set_down(down)


def hosts_that_send_to(fleet: Fleet, engine: str) -> list[Host]:
    """Return the hosts that would send requests to an engine."""
    return [host for host in fleet.hosts if engine in open_engines(host)]


def open_engines(host: Host) -> set[str]:
    """Return the engines to which a host sends requests."""
    records = host.control.roster
    table = host.control.configuration.table
    services = () if table is None else table.services
    return {entry.upstream for one in services for entry in records.open_for(one.name)}


async def observe(fleet: Fleet, engine: str, *, duration_s: float) -> list[str]:
    """Return the hosts that would have sent requests to an engine at some time.

    :param fleet: The hosts.
    :param engine: The engine.
    :param duration_s: How long to look.
    """
    seen: set[str] = set()
    ends = asyncio.get_running_loop().time() + duration_s
    while asyncio.get_running_loop().time() < ends:
        seen |= {host.name for host in hosts_that_send_to(fleet, engine)}
        await asyncio.sleep(OBSERVATION_INTERVAL_S)
    return sorted(seen)
