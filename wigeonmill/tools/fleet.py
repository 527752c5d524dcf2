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

    async def read_status(self, address: str) -> Result[ProcessStatus, str]:
        """Return the status of the process at an inner address.

        The error says why there is none.
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


@dataclass(frozen=True, slots=True)
class Spread:
    """Where a serial is in force; `took_ms` since the wait began."""

    serial: int
    took_ms: float
    processes: list[ProcessStanding]

    @property
    def everywhere(self) -> bool:
        """True if every process has the serial or a higher one."""
        settled = (Standing.IN_FORCE, Standing.AHEAD)
        return all(row.standing in settled for row in self.processes)


def agent_addresses(document: Document) -> list[str]:
    """Return the inner addresses of the document's agents."""
    return [t.agent for s in document.services for t in s.targets]


async def read_fleet(
    reader: StatusReader, seeds: Iterable[str], serial: int
) -> list[ProcessStanding]:
    """Ask the seeds and every process that they know, each once."""
    gate = asyncio.Semaphore(MAX_QUESTIONS)
    asked: set[str] = set()
    rows: list[ProcessStanding] = []
    wave = list(dict.fromkeys(seeds))
    while wave:
        asked.update(wave)
        replies = await asyncio.gather(
            *(_ask(reader, gate, address) for address in wave)
        )
        peers: dict[str, None] = {}
        for address, reply in zip(wave, replies):
            rows.append(_standing(address, reply, serial))
            if isinstance(reply, Ok):
                peers.update(dict.fromkeys(reply.ok_value.peers))
        wave = [address for address in peers if address not in asked]
    return sorted(rows, key=lambda row: (row.role, row.process, row.address))


async def wait_in_force(
    reader: StatusReader,
    clock: Clock,
    seeds: list[str],
    serial: int,
    timeout_ms: float,
) -> Spread:
    """Ask until `serial` is in force everywhere or the time is over."""
    start_ms = clock.now_ms()
    while True:
        rows = await read_fleet(reader, seeds, serial)
        spread = Spread(serial, clock.now_ms() - start_ms, rows)
        if spread.everywhere or spread.took_ms >= timeout_ms:
            return spread
        await asyncio.sleep(POLL_PAUSE_S)


async def _ask(
    reader: StatusReader, gate: asyncio.Semaphore, address: str
) -> Result[ProcessStatus, str]:
    async with gate:
        return await reader.read_status(address)


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
