"""Accepts a document by compare-and-swap in the key-value service.

The current record is archived before each swap, so that the history holds
every earlier record without a gap, and the outcome of a swap whose reply was
lost can always be determined.
"""

import asyncio
from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.config.change_checks import check_change
from wigeonmill.config.checks import check_document
from wigeonmill.config.checks import check_size
from wigeonmill.config.diff import Change
from wigeonmill.config.diff import diff_documents
from wigeonmill.config.faults import Fault
from wigeonmill.config.history import archive
from wigeonmill.config.history import EMPTY_DOCUMENT
from wigeonmill.config.history import prune
from wigeonmill.config.history import read_archived
from wigeonmill.config.history import read_current
from wigeonmill.config.history import StoredRecord
from wigeonmill.config.model import CONFIG_KEY
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import Document
from wigeonmill.config.model import encode_record
from wigeonmill.config.sections import normalize
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.providers.key_value import KvErrorKind

# Attempts to determine the outcome of a swap whose reply was lost, and the
# pause between them.
SWAP_ATTEMPTS = 5
SWAP_RETRY_PAUSE_S = 0.2


@dataclass(frozen=True, slots=True)
class Submission:
    """A document that an operator submits.

    `expected_serial` is the serial that the document is based on, 0 if there
    was none. The new serial is higher than `floor_serial`; this is needed
    after the key-value service has lost its contents.
    """

    document: Document
    author: str
    submission_id: str
    expected_serial: int
    force: bool = False
    floor_serial: int = 0


@dataclass(frozen=True, slots=True)
class Accepted:
    """The current record; `changes` is empty if nothing was written."""

    record: ConfigRecord
    changes: list[Change]


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another record, `winner`, is current; nothing was written.

    `changes` lead from the submission's base to `winner`. They are empty
    and `base_known` is false if the history no longer holds the base.
    """

    winner: ConfigRecord
    base_known: bool
    changes: list[Change]


@dataclass(frozen=True, slots=True)
class Rejected:
    """The document has faults; nothing was written."""

    faults: list[Fault]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The key-value service failed; the document was not accepted."""

    message: str


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The reply was lost and the outcome could not be determined.

    Submitting again with the same id shows whether it was accepted.
    """

    submission_id: str
    message: str


SubmitError = Conflict | Rejected | Unavailable | OutcomeUnknown


async def submit(
    kv: KeyValue, clock: Clock, submission: Submission
) -> Result[Accepted, SubmitError]:
    """Store a document under the next serial, or return why it was not.

    A document that equals the current one is accepted without a new serial.
    """
    found = await read_current(kv)
    if isinstance(found, Err):
        return Err(Unavailable(found.err_value.message))
    current = found.ok_value
    new_document = normalize(submission.document)
    if current is not None:
        if current.record.submission_id == submission.submission_id:
            return Ok(Accepted(current.record, []))
        if current.record.document == new_document:
            return Ok(Accepted(current.record, []))
    serial = current.record.serial if current else 0
    if serial != submission.expected_serial:
        return await _report_conflict(kv, submission, current)
    record = _make_record(clock, submission, new_document, serial)
    old_document = current.record.document if current else None
    faults = _find_faults(old_document, record, submission.force)
    if faults:
        return Err(Rejected(faults))
    if current is not None:
        archived = await archive(kv, current.record)
        if isinstance(archived, Err):
            return Err(Unavailable(archived.err_value.message))
    outcome = await _swap(kv, submission, current, record)
    if isinstance(outcome, Ok):
        await prune(kv, serial)
    return outcome


def find_faults(
    old: Document | None, new: Document, force: bool = False
) -> list[Fault]:
    """Return the faults for which `submit` would reject `new`."""
    record = ConfigRecord(0, '', '', 0, new)
    return _find_faults(old, record, force)


def _find_faults(
    old: Document | None, record: ConfigRecord, force: bool
) -> list[Fault]:
    faults = check_document(record.document) + check_size(record)
    if old is not None:
        faults += check_change(old, record.document)
    if force:
        faults = [fault for fault in faults if not fault.forceable]
    return faults


def _make_record(
    clock: Clock, submission: Submission, document: Document, serial: int
) -> ConfigRecord:
    return ConfigRecord(
        max(serial, submission.floor_serial) + 1,
        submission.submission_id,
        submission.author,
        clock.wall_ms(),
        document,
    )


async def _swap(
    kv: KeyValue,
    submission: Submission,
    current: StoredRecord | None,
    record: ConfigRecord,
) -> Result[Accepted, SubmitError]:
    """Try the swap up to SWAP_ATTEMPTS times until its outcome is known.

    A retry cannot write twice, as it expects the same version.
    """
    version = current.version if current else 0
    data = encode_record(record)
    message = ''
    maybe_applied = False
    for attempt in range(SWAP_ATTEMPTS):
        if attempt:
            await asyncio.sleep(SWAP_RETRY_PAUSE_S)
        swapped = await kv.compare_and_swap(CONFIG_KEY, version, data)
        if isinstance(swapped, Ok):
            return Ok(_make_accepted(current, record))
        error = swapped.err_value
        message = error.message
        match error.kind:
            case KvErrorKind.CONFLICT:
                resolved = await _resolve_conflict(
                    kv, submission, current, record, maybe_applied
                )
                if resolved is not None:
                    return resolved
            case KvErrorKind.INVALID:
                return Err(Rejected([_value_refused_fault(message)]))
            case KvErrorKind.UNAVAILABLE:
                if not maybe_applied:
                    return Err(Unavailable(message))
            case KvErrorKind.UNKNOWN:
                maybe_applied = True
    return Err(OutcomeUnknown(submission.submission_id, message))


async def _resolve_conflict(
    kv: KeyValue,
    submission: Submission,
    current: StoredRecord | None,
    record: ConfigRecord,
    maybe_applied: bool,
) -> Result[Accepted, SubmitError] | None:
    """Determine whether the conflicting record is this submission's own.

    If the reply to an earlier attempt was lost, a retry may conflict with
    the record that the submission itself has written. Returns None if the
    key-value service gave no conclusive answer.
    """
    found = await read_current(kv)
    if isinstance(found, Err):
        return None
    winner = found.ok_value
    if winner is None:
        return None
    if winner.record.submission_id == record.submission_id:
        return Ok(_make_accepted(current, record))
    if maybe_applied and winner.record.serial > record.serial:
        earlier = await read_archived(kv, record.serial)
        if isinstance(earlier, Err):
            return None
        archived = earlier.ok_value
        if archived is None:
            return None
        if archived.submission_id == record.submission_id:
            return Ok(_make_accepted(current, record))
    return await _report_conflict(kv, submission, winner)


def _make_accepted(
    current: StoredRecord | None, record: ConfigRecord
) -> Accepted:
    old = current.record.document if current else EMPTY_DOCUMENT
    return Accepted(record, diff_documents(old, record.document))


def _value_refused_fault(message: str) -> Fault:
    remedy = 'Make the document smaller'
    return Fault('', '', f'the key-value service refused: {message}', remedy)


async def _report_conflict(
    kv: KeyValue,
    submission: Submission,
    winner: StoredRecord | None,
) -> Result[Accepted, SubmitError]:
    if winner is None:
        message = 'the key-value service no longer holds a record'
        return Err(Unavailable(message))
    base = EMPTY_DOCUMENT
    if submission.expected_serial:
        found = await read_archived(kv, submission.expected_serial)
        if isinstance(found, Err) or found.ok_value is None:
            return Err(Conflict(winner.record, False, []))
        base = found.ok_value.document
    changes = diff_documents(base, winner.record.document)
    return Err(Conflict(winner.record, True, changes))
