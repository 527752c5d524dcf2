"""Asks the system's processes which serial they have in force."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import enum
from typing import Protocol

from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.config.model import Document

# Pause between two rounds of questions while a change spreads.
POLL_PAUSE_S = 0.1
# Questions that are open at the same time.
MAX_QUESTIONS = 64
# Processes asked for their peers at the same time, and further rounds of
# this when none has answered.
PEER_SOURCES = 8
MAX_PEER_ROUNDS = 4


class Standing(enum.Enum):
    """How a process's serial stands to the accepted one."""

    IN_FORCE = 'in force'
    BEHIND = 'behind'
    # Higher than the key-value service's: it has lost newer records.
    AHEAD = 'ahead'
    UNREACHABLE = 'unreachable'


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """A process's own word; `peers` are the inner addresses it knows."""

    process: str
    role: str
    serial: int
    peers: list[str] = field(default_factory=list)


class StatusReader(Protocol):
    """Asks one process for its status."""

    async def read_status(
        self, address: str, with_peers: bool
    ) -> Result[ProcessStatus, str]:
        """Return the status of the process at an inner address.

        Its peers are asked for only if wanted. The error says why there is
        no status.
        """

    def close(self) -> None:
        """Close every connection."""


@dataclass(frozen=True, slots=True)
class ProcessStanding:
    """One row of the status table."""

    address: str
    process: str
    role: str
    serial: int
    standing: Standing
    detail: str = ''

    @property
    def settled(self) -> bool:
        """True if the serial or a higher one is in force."""
        return self.standing in (Standing.IN_FORCE, Standing.AHEAD)


@dataclass(frozen=True, slots=True)
class Spread:
    """Where a serial is in force; `took_ms` since the wait began."""

    serial: int
    took_ms: float
    processes: list[ProcessStanding]

    @property
    def everywhere(self) -> bool:
        """True if every process has the serial or a higher one."""
        return all(row.settled for row in self.processes)


def agent_addresses(document: Document) -> list[str]:
    """Return the inner addresses of the document's agents."""
    return [t.agent for s in document.services for t in s.targets]


async def read_fleet(
    reader: StatusReader, seeds: Iterable[str], serial: int
) -> list[ProcessStanding]:
    """Ask the seeds and the processes that these know, each once."""
    addresses = await find_processes(reader, seeds)
    return await _read_standings(reader, addresses, serial)


async def find_processes(
    reader: StatusReader, seeds: Iterable[str]
) -> list[str]:
    """Return the seeds and the peers of the first few that answer.

    Every process knows all others, so that a few are enough to ask.
    """
    found = dict.fromkeys(seeds)
    sources = list(found)
    for start in range(0, len(sources), PEER_SOURCES):
        batch = sources[start : start + PEER_SOURCES]
        replies = await asyncio.gather(
            *(reader.read_status(address, True) for address in batch)
        )
        known = [reply.ok_value for reply in replies if isinstance(reply, Ok)]
        for status in known:
            found.update(dict.fromkeys(status.peers))
        if known or start >= PEER_SOURCES * MAX_PEER_ROUNDS:
            break
    return list(found)


async def wait_in_force(
    reader: StatusReader,
    clock: Clock,
    seeds: list[str],
    serial: int,
    timeout_ms: float,
) -> Spread:
    """Ask until `serial` is in force everywhere or the time is over.

    A process that has it is not asked again: none goes back. Processes that
    became known in the meantime are asked before the end.
    """
    start_ms = clock.now_ms()
    pending = await find_processes(reader, seeds)
    settled: dict[str, ProcessStanding] = {}
    while True:
        rows = await _read_standings(reader, pending, serial)
        settled.update((row.address, row) for row in rows if row.settled)
        late = [row for row in rows if not row.settled]
        took_ms = clock.now_ms() - start_ms
        spread = Spread(serial, took_ms, [*late, *settled.values()])
        if took_ms >= timeout_ms:
            return spread
        pending = [row.address for row in late]
        if late:
            await asyncio.sleep(POLL_PAUSE_S)
            continue
        known = await find_processes(reader, seeds)
        pending = [address for address in known if address not in settled]
        if not pending:
            return spread


async def _read_standings(
    reader: StatusReader, addresses: list[str], serial: int
) -> list[ProcessStanding]:
    gate = asyncio.Semaphore(MAX_QUESTIONS)

    async def ask(address: str) -> ProcessStanding:
        async with gate:
            reply = await reader.read_status(address, False)
        return _standing(address, reply, serial)

    rows = await asyncio.gather(*(ask(address) for address in addresses))
    return sorted(rows, key=lambda row: (row.role, row.process, row.address))


def _standing(
    address: str, reply: Result[ProcessStatus, str], serial: int
) -> ProcessStanding:
    if isinstance(reply, Err):
        return ProcessStanding(
            address, '', '', 0, Standing.UNREACHABLE, reply.err_value
        )
    status = reply.ok_value
    standing = Standing.IN_FORCE
    if status.serial < serial:
        standing = Standing.BEHIND
    elif status.serial > serial:
        standing = Standing.AHEAD
    return ProcessStanding(
        address, status.process, status.role, status.serial, standing
    )
