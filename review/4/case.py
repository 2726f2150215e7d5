"""Lets the store fall silent for five seconds while an operator writes configurations.

Afterwards a key is revoked, and each host is asked with it. Writes what was sent, answered and run
to record.txt. Exit status: 1 if a request ran with the revoked key later than the bound, 0 if none
did, 2 if the case could not run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
from pathlib import Path
import shutil
import signal
import sys
import tempfile
import time

import aiohttp

from standins.platform_engine import Ledger
from standins.platform_engine import UpstreamEmulator
from standins.platform_store import StoreBehavior
from standins.platform_store import StoreEmulator
from standins.platform_world import API_KEY
from standins.platform_world import HOST_NAME
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import configuration
from standins.platform_world import free_port

ROOT = Path(__file__).resolve().parents[2]
RECORD = Path(__file__).resolve().parent / "record.txt"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HOSTS = 6
OTHER_KEY = "key-of-account-two"
STORM_GAP_S = 0.06
STORM_S = 1.5
OUTAGE_S = 5.0
CONTACT_S = 3.0
CONFIGURATION_S = 2.0
MARGIN_S = 0.5
"""Time beyond the bound before the first request with the revoked key."""

began = time.monotonic()
lines: list[str] = []


def note(text: str) -> None:
    lines.append(f"{time.monotonic() - began:8.3f} {text}")


class Host:
    """One host process, started by the command of the deploy file."""

    def __init__(self, number: int, directory: Path) -> None:
        self.name = f"front-{number}"
        self.zone = f"zone-{number % 3}"
        names = ("front", "ready", "control", "delegates", "metrics")
        self.ports = {name: free_port() for name in names}
        self.directory = directory
        self.process: asyncio.subprocess.Process | None = None

    def address(self, name: str) -> str:
        return f"127.0.0.1:{self.ports[name]}"

    async def start(self, seeds: list[str], store: str) -> None:
        """Start the process with settings as the template of the deploy file renders them."""
        settings = self.directory / f"{self.name}.ini"
        settings.write_text(f"""[host]
id = {self.name}
failure_domain = {self.zone}
regions = zone-0:here,zone-1:here,zone-2:here
callers = {self.address("front")}
readiness = {self.address("ready")}
peers = {self.address("control")}
delegates = {self.address("delegates")}
metrics = {self.address("metrics")}
seeds = {",".join(seeds)}
stop_grace_s = 8
processor_share = 0.537
processor_speed = 2
memory_mb = 150
file_descriptors = 4100
link_mbps = 1000.0

[store]
address = {store}

[retries]
ratio = 0.2
window_s = 10
slack = 52

[deadlines]
leaving_ms = 2000
configuration_ms = 2000
""")
        with (self.directory / f"{self.name}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "deploy/start.py",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", ""),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "TANAGERSCALE_CONFIG": str(settings),
                    "SSL_CERT_FILE": "/dev/null",
                },
            )


async def is_ready(session: aiohttp.ClientSession, host: Host) -> bool:
    try:
        url = f"http://{host.address('ready')}/v1/ready"
        async with session.get(url, timeout=aiohttp.ClientTimeout(total=1)) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False


async def book(session: aiohttp.ClientSession, host: Host, number: str, key: str) -> int:
    """Send one booking, and return its status."""
    headers = {
        "Host": HOST_NAME,
        "Authorization": f"Bearer {key}",
        "Tanagerscale-Attempt-Id": number,
        "Tanagerscale-Deadline-Remaining": "2500",
    }
    url = f"http://{host.address('front')}/book/x"
    async with session.post(url, headers=headers, data=b"booking") as response:
        await response.read()
        return response.status


def write(store: StoreEmulator, version: int, *, has_other_key: bool) -> None:
    """Write a configuration, as the operator does."""
    tenants = [{"name": "one", "apiKeys": [API_KEY]}]
    tenants += [{"name": "two", "apiKeys": [OTHER_KEY]}] if has_other_key else []
    value = configuration(version=version, tenants=tenants)
    store.put("op/config", json.dumps(value).encode())


async def write_storm(store: StoreEmulator) -> int:
    """Write configurations in quick succession; the store falls silent in between."""
    version, writes = 10, round(STORM_S / STORM_GAP_S)
    for number in range(writes):
        if store.behavior is StoreBehavior.NORMAL:
            version += 3
            write(store, version, has_other_key=True)
        if TROUBLE and number == writes // 3:
            # The watches that wait are answered, and the next calls are not.
            await asyncio.sleep(0)
            store.behavior = StoreBehavior.SILENT
            note(f"the store is silent; version {version} was acknowledged before")
        await asyncio.sleep(STORM_GAP_S)
    return version


async def run(directory: Path) -> int:
    store = StoreEmulator()
    address = await store.start()
    ledger = Ledger()
    engines: list[UpstreamEmulator] = []
    for number, service in enumerate([MODEL_SERVICE] * 3 + [PLAIN_SERVICE] * 3):
        engine = UpstreamEmulator(upstream=f"i-{number:08x}", ledger=ledger)
        entry = {
            "service": service,
            "address": await engine.start(),
            "zone": f"zone-{number % 3}",
            "version": "1",
            "slots": 24,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        store.put(f"servers/{engine.upstream}", json.dumps(entry).encode())
        engines.append(engine)
    write(store, 3, has_other_key=True)
    hosts = [Host(number, directory) for number in range(HOSTS)]
    seeds = [host.address("control") for host in hosts[:3]]
    try:
        for host in hosts:
            await host.start(seeds, address)
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(30):
                while not all([await is_ready(session, host) for host in hosts]):
                    await asyncio.sleep(0.2)
            note("all hosts are ready")
            await asyncio.sleep(4)
            for index, host in enumerate(hosts):
                status = await book(session, host, f"a{index:07x}", OTHER_KEY)
                note(f"booking with the second key at {host.name}: {status}")
            version = await write_storm(store)
            if TROUBLE:
                await asyncio.sleep(OUTAGE_S - STORM_S * 2 / 3)
                store.behavior = StoreBehavior.NORMAL
                note("the store answers again")
            await asyncio.sleep(CONTACT_S)
            write(store, version + 5, has_other_key=False)
            note(f"version {version + 5} without the second key is acknowledged")
            await asyncio.sleep(CONFIGURATION_S + MARGIN_S)
            for index, host in enumerate(hosts):
                number = f"b{index:07x}"
                status = await book(session, host, number, OTHER_KEY)
                ran = any(
                    one.request == number and one.executed for one in ledger.received_requests
                )
                note(
                    f"booking {number} with the revoked key at {host.name}: {status}, "
                    f"{'run by an engine' if ran else 'not run'}"
                )
    finally:
        for host in hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.send_signal(signal.SIGKILL)
                await host.process.wait()
        for engine in engines:
            with contextlib.suppress(Exception):
                await engine.stop()
        await store.stop()
    run_late = sum(one.request[:1] == "b" and one.executed for one in ledger.received_requests)
    note(
        f"{run_late} bookings ran with a key that was revoked {CONFIGURATION_S + MARGIN_S:g} s before"
    )
    return 1 if run_late else 0


def main() -> int:
    directory = Path(tempfile.mkdtemp(prefix="review-4-"))
    try:
        code = asyncio.run(asyncio.wait_for(run(directory), 100))
    except Exception as error:
        note(f"the case could not run: {error!r}")
        code = 2
    finally:
        shutil.rmtree(directory, ignore_errors=True)
    lines.append(f"exit status {code}")
    RECORD.write_text("\n".join(lines) + "\n")
    return code


if __name__ == "__main__":
    sys.exit(main())
