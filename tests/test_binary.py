"""The shipped file runs as one process, without io_uring or file writes."""

import os
import re
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from .harness import ROOT, ClusterPlan, running_cluster
from .waiting import until

BUILD_TIMEOUT_S = 300
START_TIMEOUT_S = 60
STOP_TIMEOUT_S = 20
TRACED_CALLS = (
    'process,io_uring_setup,shmget,shmat,memfd_create,openat,open,creat,'
    'mkdir,mkdirat,rename,unlink'
)
FORBIDDEN_CALLS = re.compile(
    r'\b(fork|vfork|io_uring_setup|shm\w+|memfd_create)\(|"/dev/shm'
)
TASK_CREATIONS = re.compile(r'\bclone3?\(')
FILE_WRITES = re.compile(r'O_WRONLY|O_RDWR|O_CREAT|\b(creat|mkdir\w*|rename)\(')
ALLOWED_PATHS = ('"/dev/null"', '"/dev/tty"')

pytestmark = pytest.mark.processes


@pytest.fixture(scope='module')
def binary() -> Path:
    # Uses the tools of this environment; `-o` keeps make from rebuilding it.
    tools = f'{sys.prefix}/.installed'
    subprocess.run(
        ['make', '-o', tools, 'build', f'VENV={sys.prefix}'],
        cwd=ROOT,
        check=True,
        capture_output=True,
        timeout=BUILD_TIMEOUT_S,
    )
    return ROOT / 'dist' / 'bergamotshed'


@pytest.fixture
def unpacked_binary(
    binary: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> Path:
    """Return the file after a first run, which unpacks its contents."""
    monkeypatch.setenv('SHIV_ROOT', str(tmp_path / 'unpacked'))
    monkeypatch.setenv('PYTHONDONTWRITEBYTECODE', '1')
    monkeypatch.setenv('PYTHONPATH', '')
    # The program must override the inherited value.
    monkeypatch.setenv('UV_USE_IO_URING', '1')
    completed = subprocess.run(
        [sys.executable, str(binary), 'help'],
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT_S,
    )
    assert (completed.returncode, completed.stderr) == (0, '')
    assert 'publish' in completed.stdout
    return binary


def child_pids(pid: int) -> list[int]:
    tasks = Path(f'/proc/{pid}/task')
    child_lists = [(task / 'children').read_text() for task in tasks.iterdir()]
    return [int(child) for child in ' '.join(child_lists).split()]


async def serve_and_stop(
    prefix: tuple[str, ...], binary: Path, directory: Path
) -> None:
    """Run the file as the only router, send a chat, stop it with SIGTERM."""
    program = ('env', '-u', 'PYTHONPATH', *prefix, sys.executable, str(binary))
    async with running_cluster(
        ClusterPlan(routers=1, router_command=program), directory
    ) as cluster:
        reply = await cluster.chat(1, 'where is my fridge')
        assert reply.is_complete
        pid = cluster.pid('router-1')
        if prefix:
            (pid,) = child_pids(pid)
        assert child_pids(pid) == []
        os.kill(pid, signal.SIGTERM)

        async def has_exited() -> bool:
            return cluster.exit_code('router-1') is not None

        await until(has_exited, STOP_TIMEOUT_S)
        assert cluster.exit_code('router-1') == 0


async def test_runs_as_one_process(
    unpacked_binary: Path, tmp_path: Path
) -> None:
    await serve_and_stop((), unpacked_binary, tmp_path)


@pytest.mark.skipif(shutil.which('strace') is None, reason='needs strace')
async def test_makes_no_forbidden_system_calls(
    unpacked_binary: Path, tmp_path: Path
) -> None:
    trace = tmp_path / 'trace'
    strace = (
        'strace',
        '-f',
        '-qq',
        '-e',
        f'trace={TRACED_CALLS}',
        '-o',
        str(trace),
    )
    await serve_and_stop(strace, unpacked_binary, tmp_path)
    calls = trace.read_text().splitlines()
    assert [call for call in calls if FORBIDDEN_CALLS.search(call)] == []
    task_creations = [call for call in calls if TASK_CREATIONS.search(call)]
    assert task_creations
    assert [call for call in task_creations if 'CLONE_THREAD' not in call] == []
    assert sum(' execve(' in call for call in calls) == 1
    file_writes = [call for call in calls if FILE_WRITES.search(call)]
    assert [
        call
        for call in file_writes
        if not any(path in call for path in ALLOWED_PATHS)
    ] == []
