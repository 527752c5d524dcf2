"""Runs the system and its stand-ins as real processes on loopback."""

import asyncio
import collections
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import json
import os
from pathlib import Path
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

import msgspec

from bench.chaos_parts.ports import reserve_address
from wigeonmill.clock import Clock
from wigeonmill.config.acceptance import Submission
from wigeonmill.config.acceptance import submit
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import Document
from wigeonmill.providers.etcd import EtcdKeyValue

READY = 'ready '
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
KEY_VALUE_TIMEOUT_MS = 1000
# The ports that free_address returned last.
_handed_out: collections.deque[int] = collections.deque(maxlen=1000)


@dataclass(slots=True)
class Process:
    """A started process; `address` is its IP:port, or empty without one."""

    name: str
    address: str
    log_path: Path
    popen: subprocess.Popen[bytes]

    @property
    def running(self) -> bool:
        """Whether the process has not ended yet."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is still running."""
        if self.running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.signal(signal.SIGKILL)
        self.popen.wait(STOP_TIMEOUT_S)

    def terminate(self) -> int:
        """Shut down gracefully, else kill; return the exit code."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.returncode

    def log(self) -> str:
        """Return the output that the process has logged."""
        return self.log_path.read_text(encoding='utf-8', errors='replace')

    def cpu_seconds(self) -> float:
        """Return the CPU time used so far, in seconds (Linux only)."""
        stat = Path(f'/proc/{self.popen.pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf('SC_CLK_TCK')

    def memory_bytes(self) -> int:
        """Return the resident memory in bytes (Linux only)."""
        statm = Path(f'/proc/{self.popen.pid}/statm').read_text()
        return int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE')


@dataclass(slots=True)
class ProcessFleet:
    """The processes of one test or benchmark; `close` kills them all."""

    folder: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix='wigeonmill-'))
    )
    inner_key: str = field(default_factory=lambda: secrets.token_hex(16))
    processes: list[Process] = field(default_factory=list)

    def start_standin(
        self,
        kind: str,
        options: dict[str, Any] | None = None,
        name: str = '',
        port: int = 0,
    ) -> Process:
        """Start a stand-in of `kind` and wait until it is ready.

        Port 0 selects a free port.
        """
        args = ['-m', 'wigeonmill.standins', kind, '--port', str(port)]
        if options:
            args += ['--options', json.dumps(options)]
        process = self._spawn(name or kind, args, subprocess.PIPE)
        assert process.popen.stdout is not None
        line = process.popen.stdout.readline().decode()
        if not line.startswith(READY):
            raise RuntimeError(f'{process.name} did not start: {line}')
        process.address = line.removeprefix(READY).strip()
        return process

    def start_daemon(self, settings: dict[str, Any]) -> Process:
        """Start wigeonmilld with `settings`; do not wait until it is ready."""
        name = settings['process']
        key_path = self.folder / 'inner.key'
        if not key_path.exists():
            key_path.write_text(self.inner_key + '\n')
        full = {'inner_key_file': str(key_path), **settings}
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(full))
        args = ['-m', 'wigeonmill.daemon', str(path)]
        process = self._spawn(name, args, None)
        process.address = settings.get('inner', '')
        return process

    def close(self) -> None:
        """Kill every process and wait until all have ended."""
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes:
            process.popen.wait(STOP_TIMEOUT_S)
            if process.popen.stdout is not None:
                process.popen.stdout.close()

    def _spawn(
        self, name: str, args: Sequence[str], stdout: int | None
    ) -> Process:
        log_path = self.folder / f'{name}-{len(self.processes)}.log'
        with log_path.open('wb') as log:
            popen = subprocess.Popen(
                [sys.executable, *args],
                stdin=subprocess.DEVNULL,
                stdout=stdout if stdout is not None else log,
                stderr=log,
            )
        process = Process(name, '', log_path, popen)
        self.processes.append(process)
        return process


def free_address() -> str:
    """Return a loopback IP:port that no process listens on at present.

    It is none of the last ones returned, as their processes may not listen
    yet, and no outgoing connection is given it meanwhile.
    """
    address = reserve_address(set(_handed_out))
    _handed_out.append(int(address.rpartition(':')[2]))
    return address


def wait_for_listener(
    address: str, timeout_s: float = START_TIMEOUT_S
) -> None:
    """Wait until a process accepts connections at `address`."""
    host, _, port = address.rpartition(':')
    deadline = time.monotonic() + timeout_s
    while True:
        try:
            socket.create_connection((host, int(port)), 1.0).close()
            return
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.02)


async def put_document(
    key_value: str,
    document: Document,
    expected_serial: int,
    force: bool = True,
) -> ConfigRecord:
    """Submit a document to the key-value service at address `key_value`."""
    client = EtcdKeyValue(key_value, KEY_VALUE_TIMEOUT_MS, Clock())
    try:
        submission = Submission(
            document, 'bench', secrets.token_hex(8), expected_serial, force
        )
        outcome = await submit(client, Clock(), submission)
        return outcome.unwrap().record
    finally:
        client.close()


def encode_document(document: Document) -> dict[str, Any]:
    """Return a document as plain JSON values."""
    return msgspec.to_builtins(document)


async def wait_until(
    condition: Any, timeout_s: float = START_TIMEOUT_S
) -> None:
    """Poll the async `condition` until it returns True."""
    deadline = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f'{condition} was not met in time')
        await asyncio.sleep(0.02)
