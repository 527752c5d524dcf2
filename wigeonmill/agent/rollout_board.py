"""The rollout state of a service's targets in the key-value service.

Each target has one key for each weight version, which expires with its lease.
"""

import msgspec
from result import Err

from wigeonmill.agent.rollout import limit_share
from wigeonmill.agent.rollout import TargetPhase
from wigeonmill.agent.rollout import TargetReport
from wigeonmill.config.model import Service
from wigeonmill.providers.key_value import KeyValue

BOARD_PREFIX = 'wigeonmill/rollout'
# The lease is not renewed: a target's entry expires this long after the lease
# was granted, and the next write gets a new lease.
ENTRY_LEASE_MS = 600_000


class BoardEntry(msgspec.Struct, frozen=True):
    """The phase of one target; `loading` is set if it holds a load slot.

    `limit` is its current concurrency limit, `running` its number of runs.
    """

    target: str
    phase: str
    weight_version: str
    limit: int
    running: int
    loading: bool = False


class RolloutBoard:
    """Reads and writes the entries of one service and version."""

    def __init__(self, key_value: KeyValue, service: str) -> None:
        self._key_value = key_value
        self._service = service
        self._lease = 0

    async def write(self, version: str, entry: BoardEntry) -> bool:
        """Write a target's entry; return True if it was certainly stored."""
        key = f'{self._prefix(version)}{entry.target}'
        if not self._lease:
            granted = await self._key_value.grant_lease(ENTRY_LEASE_MS)
            if isinstance(granted, Err):
                return False
            self._lease = granted.ok_value
        read = await self._key_value.get(key)
        if isinstance(read, Err):
            return False
        stored_version = read.ok_value.version if read.ok_value else 0
        written = await self._key_value.compare_and_swap(
            key, stored_version, msgspec.json.encode(entry), self._lease
        )
        if written.is_err():
            self._lease = 0
        return written.is_ok()

    async def read(self, version: str) -> list[BoardEntry] | None:
        """Return all entries, or None when they can't be read."""
        listed = await self._key_value.list_prefix(self._prefix(version))
        if isinstance(listed, Err):
            return None
        entries = []
        for entry in listed.ok_value:
            try:
                entries.append(
                    msgspec.json.decode(entry.value, type=BoardEntry)
                )
            except msgspec.MsgspecError:
                continue
        return entries

    def _prefix(self, version: str) -> str:
        return f'{BOARD_PREFIX}/{self._service}/{version}/'


def make_reports(
    service: Service, entries: list[BoardEntry]
) -> list[TargetReport]:
    """Return a report of every target in service.

    A target without an entry is assumed to be serving an older version.
    """
    by_target = {entry.target: entry for entry in entries}
    running = [entry.running for entry in entries]
    reports = []
    for target in service.targets:
        if not target.in_service:
            continue
        entry = by_target.get(target.name)
        if entry is None:
            report = TargetReport(
                target.name, target.failure_domain, '', TargetPhase.SERVING
            )
        else:
            report = TargetReport(
                target.name,
                target.failure_domain,
                entry.weight_version,
                TargetPhase(entry.phase),
                limit_share=limit_share(entry.limit, running),
                running=entry.running,
            )
        reports.append(report)
    return reports
