"""Queries the processes for the serial that each has in force."""

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

# Pause between two polls of the processes that are behind.
POLL_PAUSE_S = 0.1
# Limit of concurrent status requests.
MAX_CONCURRENT_REQUESTS = 64
# Number of processes asked for their peers at the same time, and the number
# of further batches tried while none has answered.
PEER_BATCH_SIZE = 8
MAX_EXTRA_PEER_BATCHES = 4


class Standing(enum.Enum):
    """A process's serial compared with the accepted one."""

    IN_FORCE = 'in force'
    BEHIND = 'behind'
    # Higher than in the key-value service, which has lost newer records.
    AHEAD = 'ahead'
    UNREACHABLE = 'unreachable'


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """The status of a process; `peers` are the inner addresses it knows."""

    process: str
    role: str
    serial: int
    peers: list[str] = field(default_factory=list)


class StatusReader(Protocol):
    """Reads the status of single processes."""

    async def read_status(
        self, address: str, with_peers: bool
    ) -> Result[ProcessStatus, str]:
        """Return the status of the process at an inner address.

        Its peers are included only if `with_peers`. The error describes why
        the status could not be read.
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
    def up_to_date(self) -> bool:
        """Whether the serial or a higher one is in force."""
        return self.standing in (Standing.IN_FORCE, Standing.AHEAD)


@dataclass(frozen=True, slots=True)
class Spread:
    """Where a serial is in force, `took_ms` after the wait began."""

    serial: int
    took_ms: float
    processes: list[ProcessStanding]

    @property
    def complete(self) -> bool:
        """Whether every process has the serial or a higher one in force."""
        return all(row.up_to_date for row in self.processes)


def agent_addresses(document: Document) -> list[str]:
    """Return the inner addresses of the document's agents."""
    return [t.agent for s in document.services for t in s.targets]


async def read_fleet(
    reader: StatusReader, seeds: Iterable[str], serial: int
) -> list[ProcessStanding]:
    """Query the seeds and all processes that they know, each once."""
    addresses = await find_processes(reader, seeds)
    return await _read_standings(reader, addresses, serial)


async def find_processes(
    reader: StatusReader, seeds: Iterable[str]
) -> list[str]:
    """Return the seeds and the peers of the first few that reply.

    Every process knows all others, so asking a few is enough.
    """
    found = dict.fromkeys(seeds)
    sources = list(found)
    for start in range(0, len(sources), PEER_BATCH_SIZE):
        batch = sources[start : start + PEER_BATCH_SIZE]
        replies = await asyncio.gather(
            *(reader.read_status(address, True) for address in batch)
        )
        statuses = [
            reply.ok_value for reply in replies if isinstance(reply, Ok)
        ]
        for status in statuses:
            found.update(dict.fromkeys(status.peers))
        if statuses or start >= PEER_BATCH_SIZE * MAX_EXTRA_PEER_BATCHES:
            break
    return list(found)


async def wait_in_force(
    reader: StatusReader,
    clock: Clock,
    seeds: list[str],
    serial: int,
    timeout_ms: float,
) -> Spread:
    """Poll until `serial` is in force everywhere or the timeout expires.

    A process that has it in force is not polled again, because serials never
    decrease. Once it is in force in all known processes, those discovered in
    the meantime are polled too.
    """
    start_ms = clock.now_ms()
    pending = await find_processes(reader, seeds)
    up_to_date: dict[str, ProcessStanding] = {}
    while True:
        rows = await _read_standings(reader, pending, serial)
        up_to_date.update((row.address, row) for row in rows if row.up_to_date)
        behind = [row for row in rows if not row.up_to_date]
        took_ms = clock.now_ms() - start_ms
        spread = Spread(serial, took_ms, [*behind, *up_to_date.values()])
        if took_ms >= timeout_ms:
            return spread
        pending = [row.address for row in behind]
        if behind:
            await asyncio.sleep(POLL_PAUSE_S)
            continue
        addresses = await find_processes(reader, seeds)
        pending = [
            address for address in addresses if address not in up_to_date
        ]
        if not pending:
            return spread


async def _read_standings(
    reader: StatusReader, addresses: list[str], serial: int
) -> list[ProcessStanding]:
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def query(address: str) -> ProcessStanding:
        async with semaphore:
            reply = await reader.read_status(address, False)
        return _make_standing(address, reply, serial)

    rows = await asyncio.gather(*(query(address) for address in addresses))
    return sorted(rows, key=lambda row: (row.role, row.process, row.address))


def _make_standing(
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
