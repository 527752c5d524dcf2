"""Reads the current record and archives the records before it."""

from dataclasses import dataclass

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.config.model import CONFIG_KEY
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import decode_record
from wigeonmill.config.model import Document
from wigeonmill.config.model import encode_record
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.providers.key_value import KvEntry
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvErrorKind

HISTORY_PREFIX = 'wigeonmill/config/history/'
# Number of archived records, besides the current one.
HISTORY_RECORDS = 50
# Attempts to archive a record if replies are lost.
ARCHIVE_ATTEMPTS = 3
# Outdated records that one acceptance deletes at most.
MAX_PRUNED_RECORDS = 4

EMPTY_DOCUMENT = Document(services=[], failure_domains=[], teams=[])


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with the modification revision of its key."""

    record: ConfigRecord
    version: int


async def read_current(
    kv: KeyValue,
) -> Result[StoredRecord | None, KvError]:
    """Return the current record, or None if there is none yet."""
    found = await kv.get(CONFIG_KEY)
    if isinstance(found, Err):
        return found
    entry = found.ok_value
    if entry is None:
        return Ok(None)
    decoded = _decode_entry(entry)
    if isinstance(decoded, Err):
        return decoded
    return Ok(StoredRecord(decoded.ok_value, entry.version))


async def read_archived(
    kv: KeyValue, serial: int
) -> Result[ConfigRecord | None, KvError]:
    """Return an earlier record, or None if it is no longer archived."""
    found = await kv.get(_history_key(serial))
    if isinstance(found, Err):
        return found
    if found.ok_value is None:
        return Ok(None)
    return _decode_entry(found.ok_value)


async def read_serial(
    kv: KeyValue, serial: int
) -> Result[ConfigRecord | None, KvError]:
    """Return the record of `serial`, whether it is current or archived."""
    found = await read_current(kv)
    if isinstance(found, Err):
        return found
    current = found.ok_value
    if current is not None and current.record.serial == serial:
        return Ok(current.record)
    return await read_archived(kv, serial)


async def read_latest(
    kv: KeyValue, limit: int
) -> Result[list[ConfigRecord], KvError]:
    """Return up to `limit` records, the current one first."""
    found = await read_current(kv)
    if isinstance(found, Err):
        return found
    current = found.ok_value
    if current is None:
        return Ok([])
    records = [current.record]
    while len(records) < min(limit, HISTORY_RECORDS + 1):
        earlier = await read_archived(kv, records[-1].serial - 1)
        if isinstance(earlier, Err):
            return earlier
        if earlier.ok_value is None:
            break
        records.append(earlier.ok_value)
    return Ok(records)


async def archive(kv: KeyValue, record: ConfigRecord) -> Result[None, KvError]:
    """Store `record` in the history; succeeds if it is already there.

    If a reply is lost, another attempt shows whether the record was stored.
    """
    key = _history_key(record.serial)
    data = encode_record(record)
    for _attempt in range(ARCHIVE_ATTEMPTS):
        written = await kv.compare_and_swap(key, 0, data)
        if isinstance(written, Ok):
            return Ok(None)
        error = written.err_value
        if error.kind is KvErrorKind.CONFLICT:
            return Ok(None)
        if error.kind is not KvErrorKind.UNKNOWN:
            break
    return Err(error)


async def prune(kv: KeyValue, newest_serial: int) -> None:
    """Delete the records that are too old once `newest_serial` is archived.

    Records that could not be deleted are left to the next acceptance, which
    also checks older serials.
    """
    serial = newest_serial - HISTORY_RECORDS
    for _attempt in range(MAX_PRUNED_RECORDS):
        if serial < 1:
            return
        found = await kv.get(_history_key(serial))
        if isinstance(found, Err) or found.ok_value is None:
            return
        await kv.delete(found.ok_value.key, found.ok_value.version)
        serial -= 1


def _history_key(serial: int) -> str:
    return f'{HISTORY_PREFIX}{serial:012d}'


def _decode_entry(entry: KvEntry) -> Result[ConfigRecord, KvError]:
    try:
        return Ok(decode_record(entry.value))
    except msgspec.DecodeError as exc:
        message = f'the record under {entry.key} is malformed: {exc}'
        return Err(KvError(KvErrorKind.INVALID, message))
