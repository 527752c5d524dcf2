"""Operators that drain domains, submit concurrently and watch the record."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import secrets
import time

import msgspec

from bench.chaos_parts.proxied_system import ProxiedSystem
from bench.standin_control import read_audit
from wigeonmill.clock import Clock
from wigeonmill.config.acceptance import Submission
from wigeonmill.config.acceptance import submit
from wigeonmill.config.history import read_current
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import Document
from wigeonmill.providers.etcd import EtcdKeyValue

KEY_VALUE_TIMEOUT_MS = 1000
SETTLE_MS = 3000
RETRY_S = 0.2
WATCH_INTERVAL_S = 0.25
ATTEMPTS = 150
MAX_WEIGHT = 1000

Change = Callable[[Document], Document]


@dataclass(slots=True)
class DrainRecord:
    """One drain of a failure domain; times are wall-clock milliseconds.

    The counts are credits booked by the domain's ledgers: at the end of the
    settling time, and just before the domain was restored.
    """

    domain: str
    settled_ms: int
    ended_ms: int = 0
    credits_settled: int = 0
    credits_ended: int = 0


@dataclass(slots=True)
class OperatorRecords:
    """The changes that were accepted and the records that were read."""

    accepted: dict[int, str] = field(default_factory=dict)
    drains: list[DrainRecord] = field(default_factory=list)
    races: int = 0
    highest_seen: int = 0
    reverts: int = 0

    def add_accepted(self, record: ConfigRecord) -> None:
        """Add an accepted record.

        Two submissions that were accepted with one serial are a revert.
        """
        known = self.accepted.setdefault(record.serial, record.submission_id)
        if known != record.submission_id:
            self.reverts += 1


class Operators:
    """Submits changes; reads the record again and retries after a refusal."""

    def __init__(self, system: ProxiedSystem) -> None:
        assert system.key_value is not None
        self.records = OperatorRecords()
        self._system = system
        self._clock = Clock()
        self._kv = EtcdKeyValue(
            system.key_value.address, KEY_VALUE_TIMEOUT_MS, self._clock
        )

    def close(self) -> None:
        """Close the connections to the key-value service."""
        self._kv.close()

    async def drain(self, domain: str) -> DrainRecord:
        """Take a domain out of service; wait until no new work may start."""
        await self._change(lambda doc: _with_domain(doc, domain, False))
        accepted_ms = _wall_ms()
        await asyncio.sleep(SETTLE_MS / 1000.0)
        record = DrainRecord(domain, accepted_ms + SETTLE_MS)
        record.credits_settled = self._count_credits(domain)
        self.records.drains.append(record)
        return record

    async def restore(self, record: DrainRecord) -> None:
        """Bring a drained domain back into service."""
        record.credits_ended = self._count_credits(record.domain)
        record.ended_ms = _wall_ms()
        await self._change(lambda doc: _with_domain(doc, record.domain, True))

    async def race(self) -> None:
        """Submit two changes at once, both based on the current serial."""
        found = await read_current(self._kv)
        if found.is_err() or found.ok_value is None:
            return
        base = found.ok_value.record
        self.records.races += 1
        await asyncio.gather(
            self._submit(base, lambda doc: _with_weight(doc, 0)),
            self._submit(base, lambda doc: _with_weight(doc, 1)),
        )

    async def watch(self) -> None:
        """Check the stored record at an interval until cancelled."""
        while True:
            await self.check_record()
            await asyncio.sleep(WATCH_INTERVAL_S)

    async def check_record(self) -> bool:
        """Read the record and count reverts; False if there is no answer.

        A lower serial than before is a revert, and so is another submission
        than the one that was accepted with this serial.
        """
        found = await read_current(self._kv)
        if found.is_err():
            return False
        stored = found.ok_value
        records = self.records
        serial = stored.record.serial if stored is not None else 0
        records.reverts += serial < records.highest_seen
        records.highest_seen = max(serial, records.highest_seen)
        known = records.accepted.get(serial)
        if stored is not None and known is not None:
            records.reverts += stored.record.submission_id != known
        return True

    async def _change(self, change: Change) -> None:
        for _attempt in range(ATTEMPTS):
            found = await read_current(self._kv)
            if found.is_ok() and found.ok_value is not None:
                if await self._submit(found.ok_value.record, change):
                    return
            await asyncio.sleep(RETRY_S)
        raise TimeoutError('the key-value service accepted no change')

    async def _submit(self, base: ConfigRecord, change: Change) -> bool:
        submission = Submission(
            change(base.document),
            'chaos',
            secrets.token_hex(8),
            base.serial,
            force=True,
        )
        outcome = await submit(self._kv, self._clock, submission)
        if outcome.is_err():
            return False
        self.records.add_accepted(outcome.unwrap().record)
        return True

    def _count_credits(self, domain: str) -> int:
        ledgers = [
            target.standin.address
            for target in self._system.targets_of(domain)
            if target.name.startswith('ledger')
        ]
        return sum(len(read_audit(a)['credits']) for a in ledgers)


def _wall_ms() -> int:
    return int(time.time() * 1000)


def _with_domain(doc: Document, name: str, in_service: bool) -> Document:
    domains = [
        msgspec.structs.replace(domain, in_service=in_service)
        if domain.name == name
        else domain
        for domain in doc.failure_domains
    ]
    return msgspec.structs.replace(doc, failure_domains=domains)


def _with_weight(doc: Document, number: int) -> Document:
    """Return the document with the weight of one team changed."""
    teams = list(doc.teams)
    weight = teams[number].weight % MAX_WEIGHT + 1
    teams[number] = msgspec.structs.replace(teams[number], weight=weight)
    return msgspec.structs.replace(doc, teams=teams)
