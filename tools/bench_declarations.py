"""Measure declarations of the target size: validation, chunks, deltas and processor time.

Run it with ``python tools/bench_declarations.py``; it prints one JSON document.
"""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
import json
from pathlib import Path
from random import Random
import sys
import tempfile
import time
import tracemalloc

import msgspec

sys.path[:0] = [str(Path(__file__).resolve().parent.parent)]

from tanagerscale.core import Clock  # noqa: E402
from tanagerscale.core import Revision  # noqa: E402
from tanagerscale.core import new_id  # noqa: E402
from tanagerscale.declarations import Follower  # noqa: E402
from tanagerscale.declarations import publish  # noqa: E402
from tanagerscale.declarations import read_declarations  # noqa: E402
from tanagerscale.generated.declarations import DeclarationSet  # noqa: E402
from tanagerscale.generated.records import Head  # noqa: E402
from testing._fake_store import FakeStore  # noqa: E402

ACCOUNT_COUNT = 8_000
ENGINE_COUNT = 12_000
MODEL_COUNT = 9
FAILURE_DOMAIN_COUNT = 33
CHANGES_PER_DAY = 34_000
SECONDS_PER_DAY = 86_400
MEASURED_CHANGE_COUNT = 50
PREFIX = "/bench"
MS_PER_SECOND = 1000
BYTES_PER_MIB = 1024 * 1024
SALT_BYTES = 16
HASH_BYTES = 32


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeCosts:
    """Medians over changes of one section each.

    :param head_bytes: Size of the head record in the store.
    :param watch_bytes: Size of the head record in a watch response, base64-encoded in JSON.
    :param apply_ms: Processor time of the operator's publish, including the read of the current
        set.
    :param host_ms: Processor time of a host to put the change in force.
    :param chunk_bytes: Total size of the chunks written.
    """

    head_bytes: float
    watch_bytes: float
    apply_ms: float
    host_ms: float
    chunk_bytes: float


def main() -> None:
    """Run the measurements and print them as JSON."""
    random = Random(1)
    with tempfile.TemporaryDirectory() as directory:
        ini_path = Path(directory) / "all.ini"
        ini_path.write_text(_generate_declarations(random))
        start = time.process_time()
        declared = read_declarations(paths=[ini_path]).unwrap()
        validate_s = time.process_time() - start
        file_bytes = ini_path.stat().st_size
    report = asyncio.run(_measure(declared=declared, random=random))
    report["file_bytes"] = file_bytes
    report["validate_s"] = round(validate_s, 2)
    print(json.dumps(report, indent=2))


def _generate_declarations(random: Random) -> str:
    models = [f"model-{number}" for number in range(MODEL_COUNT)]
    sections = ["[objective]\nstall_weight = 2\n"]
    sections += [f"[model {model}]\nversion = 1\n" for model in models]
    for number in range(ACCOUNT_COUNT):
        key_hash = (
            f"$argon2id$v=19$m=8192,t=2,p=1${_random_base64(random, SALT_BYTES)}"
            f"${_random_base64(random, HASH_BYTES)}"
        )
        sections.append(
            f"[account account-{number}]\nkey_hash = {key_hash}\nweight = {1 + number % 5}\n"
            f"models = {models[number % MODEL_COUNT]}\nrequests_per_second = {10 + number % 90}\n"
        )
    for number in range(ENGINE_COUNT):
        address = f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:8000"
        sections.append(
            f"[engine engine-{number}]\naddress = {address}\n"
            f"failure_domain = domain-{number % FAILURE_DOMAIN_COUNT}\n"
            f"models = {models[number % MODEL_COUNT]}\n"
            f"memory_tokens = {60000 + number % 7}\n"
        )
    return "\n".join(sections)


def _random_base64(random: Random, length: int) -> str:
    return base64.b64encode(random.randbytes(length)).decode().rstrip("=")


async def _measure(*, declared: DeclarationSet, random: Random) -> dict[str, object]:
    store = FakeStore()
    start = time.process_time()
    head = await _publish(store=store, declared=declared)
    first_publish_s = time.process_time() - start
    chunks = [len(entry.value) for key, entry in store.backend.entries.items() if "/chunks/" in key]
    follower = Follower(store=store, prefix=PREFIX, clock=Clock(), random=random)
    content = {
        key.rpartition("/")[2]: entry.value.decode()
        for key, entry in store.backend.entries.items()
        if "/chunks/" in key
    }
    head_json = store.backend.entries[f"{PREFIX}/declarations/head"].value
    start = time.process_time()
    await follower.offer_from_peer(head=head_json, chunks=content)
    host_start_s = time.process_time() - start
    memory_mib = await _measure_memory(store=store, head_json=head_json, content=content)
    change = await _measure_changes(store=store, follower=follower, declared=declared)
    changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    return {
        "sections": len(declared.accounts) + len(declared.engines) + len(declared.models) + 1,
        "first_publish_s": round(first_publish_s, 2),
        "chunks": len(head.chunks),
        "chunk_bytes_min": min(chunks),
        "chunk_bytes_max": max(chunks),
        "chunk_bytes_total": sum(chunks),
        "host_start_s": round(host_start_s, 2),
        "host_memory_mib": memory_mib,
        "one_section_changed": {
            name: round(getattr(change, name), 2) for name in ChangeCosts.__slots__
        },
        "host_watch_bytes_per_s": round(change.watch_bytes * changes_per_second),
        "host_ms_per_s": round(change.host_ms * changes_per_second, 2),
        "operator_chunk_bytes_per_s": round(change.chunk_bytes * changes_per_second),
    }


async def _measure_memory(*, store: FakeStore, head_json: bytes, content: dict[str, str]) -> float:
    """Return the memory used by a host's copy of the declarations, in MiB."""
    tracemalloc.start()
    follower = Follower(store=store, prefix=PREFIX, clock=Clock(), random=Random(2))
    await follower.offer_from_peer(head=head_json, chunks=content)
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert follower.head_revision == 1
    return round(memory_bytes / BYTES_PER_MIB, 1)


async def _measure_changes(
    *, store: FakeStore, follower: Follower, declared: DeclarationSet
) -> ChangeCosts:
    head_sizes, apply_times_ms, host_times_ms, chunks = [], [], [], []
    for number in range(MEASURED_CHANGE_COUNT):
        engines = list(declared.engines)
        engine = engines[number * 7]
        engines[number * 7] = msgspec.structs.replace(engine, max_batch=100 + number)
        declared = msgspec.structs.replace(declared, engines=engines)
        existing_keys = set(store.backend.entries)
        start = time.process_time()
        await _publish(store=store, declared=declared)
        apply_times_ms.append((time.process_time() - start) * MS_PER_SECOND)
        new_keys = [
            key for key in store.backend.entries if key not in existing_keys and "/chunks/" in key
        ]
        chunks.append(sum(len(store.backend.entries[key].value) for key in new_keys))
        head_json = store.backend.entries[f"{PREFIX}/declarations/head"].value
        head_sizes.append(len(head_json))
        start = time.process_time()
        result = await follower.offer_from_peer(head=head_json, chunks={})
        host_times_ms.append((time.process_time() - start) * MS_PER_SECOND)
        assert result.unwrap() == Revision(number + 2)
    return ChangeCosts(
        head_bytes=_median(head_sizes),
        watch_bytes=_median([len(base64.b64encode(bytes(size))) for size in head_sizes]),
        apply_ms=_median(apply_times_ms),
        host_ms=_median(host_times_ms),
        chunk_bytes=_median(chunks),
    )


async def _publish(*, store: FakeStore, declared: DeclarationSet) -> Head:
    result = await publish(
        store=store,
        prefix=PREFIX,
        declarations=declared,
        author="bench",
        apply_id=new_id(prefix="apply"),
        clock=Clock(),
        expected_revision=None,
    )
    return result.unwrap()


def _median(values: list[int] | list[float]) -> float:
    return float(sorted(values)[len(values) // 2])


if __name__ == "__main__":
    main()
