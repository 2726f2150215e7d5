"""A small cluster of real processes on loopback: stand-ins, hosts and declarations."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Self
from typing import TypeVar
from typing import final

import aiohttp
import msgspec

from standins._common import LOOPBACK
from standins.cluster_files import account_key_hash
from standins.cluster_files import write_declarations
from standins.cluster_files import write_settings
from standins.command_line import CommandResult
from standins.command_line import run_command
from standins.journal import Execution
from standins.journal import read_journal
from standins.processes import Launcher
from standins.processes import ManagedProcess
from standins.processes import StartError
from tanagerscale.generated.declarations import ClientAccount
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.declarations import Fencing
from tanagerscale.generated.declarations import Model
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.declarations import Service
from tanagerscale.generated.settings import HostListSection
from tanagerscale.generated.settings import HostSection
from tanagerscale.generated.settings import HostSettings
from tanagerscale.generated.settings import LogLevel
from tanagerscale.generated.settings import LogSection
from tanagerscale.generated.settings import SecretsSection
from tanagerscale.generated.settings import StoreSection
from tanagerscale.generated.upstream import HostList
from tanagerscale.generated.upstream import ListedEntry
from tanagerscale.generated.upstream import ListedKind
from tanagerscale.generated.upstream import ListedState

PORT_IN_USE = "address already in use"
MAX_PORT_RETRIES = 40
PORT_RETRY_DELAY_S = 0.5
ANY_PORT = f"{LOOPBACK}:0"
CURSOR_KEY = "cursor-key-of-the-test-cluster-0123456789"
FAILURE_DOMAINS = ("domain-a", "domain-b", "domain-c")

_Body = TypeVar("_Body")


@dataclass(frozen=True, kw_only=True, slots=True)
class ClusterPlan:
    """Size and settings of a cluster.

    :param engine_options: Command-line options of every engine, without dashes.
    :param store_options: Command-line options of the store, without dashes.
    :param models: Models that are declared and loaded at start.
    :param accounts: Names of the client accounts.
    :param base: Declarations whose engines and services are replaced by those of the cluster;
        ``None`` builds a set from the other fields.
    :param not_idempotent: Calls of every service that must not be repeated.
    :param list_lag_ms: Delay of changes in the host list, in milliseconds.
    :param stop_grace_ms: Longest time that a graceful shutdown waits for running answers, in
        milliseconds.
    """

    hosts: int = 3
    engines: int = 2
    services: int = 1
    engine_options: dict[str, str] = field(default_factory=dict)
    store_options: dict[str, str] = field(default_factory=dict)
    models: tuple[Model, ...] = (Model(name="round-planner", version="2026-11"),)
    accounts: tuple[str, ...] = ("crew-north",)
    not_idempotent: tuple[str, ...] = ("POST /bookings",)
    service_timeout_ms: int = 5_000
    list_lag_ms: int = 0
    stop_grace_ms: int = 60_000
    fencing: Fencing = Fencing.CHECKED
    failure_domains: tuple[str, ...] = FAILURE_DOMAINS
    service: str = "bookings"
    base: DeclarationSet | None = None
    log_level: LogLevel = LogLevel.INFO


@final
class Cluster:
    """The processes of one cluster, which end when the context exits.

    :param plan: Size and settings of the cluster.
    :param directory: Directory for settings, declarations, journals and logs.
    """

    def __init__(self, *, plan: ClusterPlan, directory: Path) -> None:
        self.plan = plan
        self.directory = directory
        self.engines: dict[str, ManagedProcess] = {}
        self.services: dict[str, ManagedProcess] = {}
        self.hosts: dict[str, ManagedProcess] = {}
        self.declarations = DeclarationSet(
            objective=Objective(), models=list(plan.models), accounts=[]
        )
        self._launcher = Launcher(directory=directory)
        self._stack = AsyncExitStack()
        self._entries: dict[str, ListedEntry] = {}
        self._incarnation = 0

    @property
    def launcher(self) -> Launcher:
        """Launcher that starts the processes of the cluster."""
        return self._launcher

    async def __aenter__(self) -> Self:
        """Start the stand-ins without any host, and build the declarations."""
        # Executions of an earlier run in the same directory must not be counted.
        for journal in self.directory.glob("*.journal"):
            journal.unlink()
        await self._stack.enter_async_context(self._launcher)
        self._session = await self._stack.enter_async_context(aiohttp.ClientSession())
        try:
            await self._start_standins()
        except BaseException:
            await self._stack.aclose()
            raise
        self.declarations = self._build_declarations()
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes of the cluster."""
        await self._stack.aclose()

    async def start_engine(
        self, name: str, *, options: dict[str, str] | None = None
    ) -> ManagedProcess:
        """Start an engine; a replacement uses the port of the previous engine of that name.

        :param name: Declared name of the engine.
        :param options: Additional command-line options, without dashes.
        """
        model_versions = ",".join(f"{model.name}={model.version}" for model in self.plan.models)
        adapters = self.plan.base.adapters if self.plan.base else []
        adapter_versions = ",".join(f"{adapter.name}={adapter.version}" for adapter in adapters)
        launch_options = {
            "models": model_versions,
            "adapters": adapter_versions,
            "fencing": self.plan.fencing.value,
            **self.plan.engine_options,
        }
        launch_options |= {"journal": str(self.journal_path(name))}
        launch_options |= self._port_option(self.engines.get(name)) | (options or {})
        self.engines[name] = await self._start(name, "standins.engine", launch_options)
        await self._add_to_host_list(name, ListedKind.UPSTREAM, self.engines[name].address)
        return self.engines[name]

    async def start_service(self, name: str) -> ManagedProcess:
        """Start an upstream of the plain service; a replacement uses the port of the previous one.

        :param name: Name of the upstream in the cluster.
        """
        launch_options = {"journal": str(self.journal_path(name))}
        launch_options |= self._port_option(self.services.get(name))
        self.services[name] = await self._start(name, "standins.service", launch_options)
        address = self.services[name].address
        await self._add_to_host_list(address, ListedKind.UPSTREAM, address)
        return self.services[name]

    async def start_host(self, name: str, *, store_url: str = "") -> ManagedProcess:
        """Start a host on new ports.

        :param name: Id of the host.
        :param store_url: URL at which the host reaches the store; empty for the store itself.
        """
        path = self.directory / f"{name}.ini"
        write_settings(path=path, settings=self._settings(name, store_url or self.store.url))
        arguments = ["--settings", str(path)]
        host = await self._launcher.start(
            name=name, module="tanagerscale.daemon", arguments=arguments
        )
        self.hosts[name] = host
        await self._add_to_host_list(name, ListedKind.HOST, host.address_of("peers"))
        return host

    async def start_hosts(self) -> None:
        """Start all hosts of the plan concurrently."""
        names = [f"host-{number}" for number in range(1, self.plan.hosts + 1)]
        async with asyncio.TaskGroup() as group:
            for name in names:
                group.create_task(self.start_host(name))

    async def set_listed_state(self, entry: str, state: ListedState) -> None:
        """Change the state of an entry in the host list.

        :param entry: Id of the entry.
        :param state: New state of the entry.
        """
        self._entries[entry] = msgspec.structs.replace(self._entries[entry], state=state)
        await self._publish_host_list()

    async def remove_from_host_list(self, entry: str) -> None:
        """Remove an entry from the host list.

        :param entry: Id of the entry.
        """
        self._entries.pop(entry, None)
        await self._publish_host_list()

    async def apply(
        self,
        *,
        declarations: DeclarationSet | None = None,
        author: str = "operator",
        wait: bool = False,
    ) -> CommandResult:
        """Apply declarations with the command-line tool.

        :param declarations: Set to apply; ``None`` applies the declarations of the cluster.
        :param author: Author recorded with the change.
        :param wait: Whether to wait until the set is in force at all running hosts.
        """
        path = self.directory / f"declarations-{author}.ini"
        write_declarations(path=path, declarations=declarations or self.declarations)
        options = ["--store", self.store.url, "--author", author]
        if wait:
            running = [host for host in self.hosts.values() if host.running]
            options += ["--hosts", ",".join(host.address_of("callers") for host in running)]
        return await self.command("apply", str(path), *options)

    async def command(self, *arguments: str) -> CommandResult:
        """Run the command-line tool.

        :param arguments: Arguments of the tool.
        """
        return await run_command(*arguments)

    def journal_path(self, name: str) -> Path:
        """Return the path of the journal in which an engine or service records its executions.

        :param name: Name of the engine or service in the cluster.
        """
        return self.directory / f"{name}.journal"

    def executions(self, names: Iterable[str]) -> list[Execution]:
        """Return the executions of engines or services, including those before a restart.

        :param names: Names of the engines or services in the cluster.
        """
        return [item for name in names for item in read_journal(self.journal_path(name))]

    def caller_url(self, host: str) -> str:
        """Return the base URL of a host for callers.

        :param host: Id of the host.
        """
        return f"http://{self.hosts[host].address_of('callers')}"

    async def post(self, process: ManagedProcess, path: str, body: msgspec.Struct) -> None:
        """Send an admin call to a stand-in.

        :param process: Process of the stand-in.
        :param path: Path of the call.
        :param body: Body of the call, sent as JSON.
        :raises aiohttp.ClientError: If the call fails or is answered with an error status.
        """
        data = msgspec.json.encode(body)
        async with self._session.post(process.url + path, data=data) as reply:
            reply.raise_for_status()

    async def get(self, process: ManagedProcess, path: str, kind: type[_Body]) -> _Body:
        """Read an admin resource of a stand-in.

        :param process: Process of the stand-in.
        :param path: Path of the resource.
        :param kind: Type to which the JSON body is decoded.
        :raises aiohttp.ClientError: If the call fails or is answered with an error status.
        """
        async with self._session.get(process.url + path) as reply:
            reply.raise_for_status()
            return msgspec.json.decode(await reply.read(), type=kind)

    async def _start_standins(self) -> None:
        host_list_options = {"lag_ms": str(self.plan.list_lag_ms)}
        self.store = await self._start("store", "standins.store", self.plan.store_options)
        self.host_list = await self._start("host-list", "standins.host_list", host_list_options)
        engines = [f"engine-{number}" for number in range(1, self.plan.engines + 1)]
        services = [f"booking-{number}" for number in range(1, self.plan.services + 1)]
        async with asyncio.TaskGroup() as group:
            for name in engines:
                group.create_task(self.start_engine(name))
            for name in services:
                group.create_task(self.start_service(name))

    async def _start(self, name: str, module: str, options: dict[str, str]) -> ManagedProcess:
        arguments = [f"--{option}={value}" for option, value in options.items()]
        for _ in range(MAX_PORT_RETRIES):
            try:
                return await self._launcher.start(name=name, module=module, arguments=arguments)
            except StartError as error:
                # An outgoing connection may use the port of the ended process for a while.
                if PORT_IN_USE not in str(error):
                    raise
            await asyncio.sleep(PORT_RETRY_DELAY_S)
        return await self._launcher.start(name=name, module=module, arguments=arguments)

    async def _add_to_host_list(self, entry: str, kind: ListedKind, address: str) -> None:
        self._incarnation += 1
        self._entries[entry] = ListedEntry(
            id=entry,
            kind=kind,
            address=address,
            state=ListedState.LIVE,
            failure_domain=self._failure_domain_of(entry),
            incarnation=self._incarnation,
        )
        await self._publish_host_list()

    async def _publish_host_list(self) -> None:
        entries = HostList(entries=list(self._entries.values()))
        await self.post(self.host_list, "/admin/entries", entries)

    def _build_declarations(self) -> DeclarationSet:
        base = self.plan.base or DeclarationSet(
            objective=Objective(),
            models=list(self.plan.models),
            accounts=[
                ClientAccount(name=name, key_hash=account_key_hash(name))
                for name in self.plan.accounts
            ],
        )
        names = [model.name for model in self.plan.models]
        engines = [
            Engine(
                name=name,
                address=process.address,
                failure_domain=self._failure_domain_of(name),
                models=names,
                adapters=[adapter.name for adapter in base.adapters],
                memory_tokens=int(self.plan.engine_options.get("memory_tokens", "60000")),
                max_batch=int(self.plan.engine_options.get("max_batch", "64")),
                fencing=self.plan.fencing,
            )
            for name, process in sorted(self.engines.items())
        ]
        addresses = [
            f"{process.address}@{self._failure_domain_of(name)}"
            for name, process in sorted(self.services.items())
        ]
        service = Service(
            name=self.plan.service,
            addresses=addresses,
            not_idempotent=list(self.plan.not_idempotent),
            timeout_ms=self.plan.service_timeout_ms,
        )
        return msgspec.structs.replace(
            base,
            engines=engines,
            services=[service] if addresses else [],
        )

    def _settings(self, name: str, store_url: str) -> HostSettings:
        seeds = [host.address_of("peers") for host in self.hosts.values() if host.running]
        return HostSettings(
            host=HostSection(
                id=name,
                failure_domain=self._failure_domain_of(name),
                callers=ANY_PORT,
                peers=ANY_PORT,
                stop_grace_ms=self.plan.stop_grace_ms,
            ),
            store=StoreSection(endpoints=[store_url]),
            host_list=HostListSection(
                url=f"{self.host_list.url}/hosts", interval_ms=200, seeds=seeds
            ),
            secrets=SecretsSection(cursor_key=CURSOR_KEY),
            log=LogSection(level=self.plan.log_level),
        )

    def _port_option(self, previous: ManagedProcess | None) -> dict[str, str]:
        return {} if previous is None else {"port": previous.address.rpartition(":")[2]}

    def _failure_domain_of(self, name: str) -> str:
        digits = name.rpartition("-")[2]
        number = int(digits) if digits.isdecimal() else 0
        return self.plan.failure_domains[number % len(self.plan.failure_domains)]
