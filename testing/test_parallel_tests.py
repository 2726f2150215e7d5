"""How pytest ends with the options that the Makefile passes for several workers."""

from __future__ import annotations

import os
from pathlib import Path
import re
import subprocess
import sys

MAKEFILE = Path(__file__).parent.parent / "Makefile"
LONGEST_RUN_S = 120
"""Ends a run that would never end by itself."""
CONFIGURATION = """
[pytest]
addopts = -q
asyncio_default_fixture_loop_scope = function
faulthandler_timeout = 1
faulthandler_exit_on_timeout = true
"""
HANGING = """
import threading

def test_before(): pass

def test_hangs(): threading.Event().wait()

def test_after(): pass
"""


def _run_in_parallel(directory: Path) -> subprocess.CompletedProcess[str]:
    """Run the tests of a directory with the options of the Makefile, but with two workers."""
    found = re.search(r"^PARALLEL := (.+)$", MAKEFILE.read_text(), re.MULTILINE)
    assert found is not None
    return subprocess.run(
        [sys.executable, "-m", "pytest", *found[1].split(), "-n", "2"],
        cwd=directory,
        env={name: value for name, value in os.environ.items() if not name.startswith("PYTEST_")},
        capture_output=True,
        text=True,
        timeout=LONGEST_RUN_S,
        check=False,
    )


# Each worker that replaced one ended by the fault handler hung at the same test.
def test_run_fails_and_names_the_test_when_a_test_hangs(tmp_path: Path) -> None:
    (tmp_path / "pytest.ini").write_text(CONFIGURATION)
    (tmp_path / "test_hanging.py").write_text(HANGING)
    (tmp_path / "test_other.py").write_text("def test_passes(): pass\n")
    ended = _run_in_parallel(tmp_path)
    assert ended.returncode == 1, ended.stdout + ended.stderr
    assert re.search(r"crashed while running 'test_hanging.py::test_hangs'", ended.stdout)
    assert re.search(r"^1 failed, \d+ passed", ended.stdout, re.MULTILINE)


def test_number_of_passed_tests_is_printed_when_all_pass(tmp_path: Path) -> None:
    (tmp_path / "pytest.ini").write_text(CONFIGURATION)
    (tmp_path / "test_other.py").write_text("def test_passes(): pass\n")
    ended = _run_in_parallel(tmp_path)
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert re.search(r"^1 passed", ended.stdout, re.MULTILINE)
