"""Commands that plan or apply a change: diff, apply, rollback."""

from dataclasses import dataclass
from dataclasses import field
import pathlib
from typing import Annotated

import cappa
from result import Err
from result import Ok
from result import Result

from wigeonmill.config.acceptance import find_faults
from wigeonmill.config.acceptance import Submission
from wigeonmill.config.acceptance import submit
from wigeonmill.config.diff import diff_documents
from wigeonmill.config.history import EMPTY_DOCUMENT
from wigeonmill.config.history import read_current
from wigeonmill.config.history import read_serial
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import Document
from wigeonmill.config.reader import read_document
from wigeonmill.tools.change_reports import accepted_report
from wigeonmill.tools.change_reports import PlanReport
from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.options import ApplyOptions
from wigeonmill.tools.options import ApplyOptionsArg
from wigeonmill.tools.options import JsonFlag
from wigeonmill.tools.options import ServiceOptionsArg
from wigeonmill.tools.report import FaultsReport
from wigeonmill.tools.report import ProblemReport
from wigeonmill.tools.report import Report
from wigeonmill.tools.report import submit_error_report
from wigeonmill.tools.report import unavailable_report
from wigeonmill.tools.session import Dependencies
from wigeonmill.tools.session import open_session
from wigeonmill.tools.session import ServiceOptions
from wigeonmill.tools.session import Session

DocumentFile = Annotated[pathlib.Path, cappa.Arg(help='The document.')]


@cappa.command(name='diff', help='Show what applying a document would change.')
@dataclass(frozen=True, slots=True)
class DiffCommand:
    """Shows the plan for a document without applying it."""

    file: DocumentFile
    against: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help='Compare with this file; needs no service.'),
    ] = None
    serial: Annotated[
        int, cappa.Arg(long=True, help='Compare with this serial.')
    ] = 0
    json: JsonFlag = False
    services: ServiceOptionsArg = field(default_factory=ServiceOptions)

    async def run(self, deps: Dependencies) -> Report:
        """Return the plan."""
        read = _read_file(self.file)
        if isinstance(read, Err):
            return read.err_value
        if self.against is not None:
            base = _read_file(self.against)
            if isinstance(base, Err):
                return base.err_value
            old = base.ok_value
            return _plan(f'{self.against}', old, read.ok_value, False)
        opened = open_session(self.services, deps)
        if isinstance(opened, Err):
            return opened.err_value
        session = opened.ok_value
        found = await _read_record(session, self.serial)
        session.close()
        if isinstance(found, Err):
            return found.err_value
        record = found.ok_value
        if record is None:
            return _plan('no configuration', None, read.ok_value, False)
        name = f'serial {record.serial} of {record.author}'
        return _plan(name, record.document, read.ok_value, False)


@cappa.command(name='apply', help='Show the plan, then apply a document.')
@dataclass(frozen=True, slots=True)
class ApplyCommand:
    """Submits a document."""

    file: DocumentFile
    yes: Annotated[
        bool, cappa.Arg(long=True, help='Do not ask for confirmation.')
    ] = False
    expected_serial: Annotated[
        int,
        cappa.Arg(
            long=True,
            help='Fail with a conflict if another serial is current.',
        ),
    ] = -1
    above_serial: Annotated[
        int, cappa.Arg(long=True, help='Use a serial above this one.')
    ] = 0
    options: ApplyOptionsArg = field(default_factory=ApplyOptions)
    services: ServiceOptionsArg = field(default_factory=ServiceOptions)

    @property
    def json(self) -> bool:
        """Whether to print JSON."""
        return self.options.json

    async def run(self, deps: Dependencies) -> Report:
        """Return the accepted change, or why it was not accepted."""
        read = _read_file(self.file)
        if isinstance(read, Err):
            return read.err_value
        opened = open_session(self.services, deps, self.options.wait)
        if isinstance(opened, Err):
            return opened.err_value
        session = opened.ok_value
        try:
            return await self._apply(session, read.ok_value)
        finally:
            session.close()

    async def _apply(self, session: Session, document: Document) -> Report:
        found = await _read_record(session, 0)
        if isinstance(found, Err):
            return found.err_value
        record = found.ok_value
        serial = record.serial if record else 0
        old = record.document if record else None
        plan = _plan(f'serial {serial}', old, document, self.options.force)
        if plan.faults:
            return plan
        question = '\n'.join([*plan.lines(), 'Apply?'])
        if plan.changes and not self.yes:
            if not session.deps.confirm(question):
                return ProblemReport(ExitCode.NEGATIVE, 'Not applied.')
        if self.expected_serial >= 0:
            serial = self.expected_serial
        submission = Submission(
            document,
            session.authorship().author,
            session.deps.new_id(),
            serial,
            self.options.force,
            self.above_serial,
        )
        return await _submit(session, submission, self.options)


@cappa.command(name='rollback', help='Apply an earlier serial as a new one.')
@dataclass(frozen=True, slots=True)
class RollbackCommand:
    """Applies an earlier document again under a new, higher serial."""

    serial: Annotated[int, cappa.Arg(help='The serial to go back to.')]
    options: ApplyOptionsArg = field(default_factory=ApplyOptions)
    services: ServiceOptionsArg = field(default_factory=ServiceOptions)

    @property
    def json(self) -> bool:
        """Whether to print JSON."""
        return self.options.json

    async def run(self, deps: Dependencies) -> Report:
        """Return the accepted change, or why it was not accepted."""
        opened = open_session(self.services, deps, self.options.wait)
        if isinstance(opened, Err):
            return opened.err_value
        session = opened.ok_value
        try:
            return await self._apply(session)
        finally:
            session.close()

    async def _apply(self, session: Session) -> Report:
        current = await _read_record(session, 0)
        if isinstance(current, Err):
            return current.err_value
        earlier = await _read_record(session, self.serial)
        if isinstance(earlier, Err):
            return earlier.err_value
        if current.ok_value is None or earlier.ok_value is None:
            return unknown_serial_report(self.serial)
        submission = Submission(
            earlier.ok_value.document,
            session.authorship().author,
            session.deps.new_id(),
            current.ok_value.serial,
            self.options.force,
        )
        return await _submit(session, submission, self.options)


def unknown_serial_report(serial: int) -> Report:
    """Return the report that no record with this serial is stored."""
    problem = f'Serial {serial} is not stored; see `wigeonmill history`.'
    return ProblemReport(ExitCode.NEGATIVE, problem)


async def _submit(
    session: Session, submission: Submission, options: ApplyOptions
) -> Report:
    outcome = await submit(session.kv, session.clock, submission)
    if isinstance(outcome, Err):
        return submit_error_report(outcome.err_value)
    return await accepted_report(session, outcome.ok_value, options)


def _read_file(path: pathlib.Path) -> Result[Document, Report]:
    read = read_document(path)
    if isinstance(read, Err):
        return Err(FaultsReport(f'{path}', read.err_value))
    return read


async def _read_record(
    session: Session, serial: int
) -> Result[ConfigRecord | None, Report]:
    """Read the record of a serial, or the current one for serial 0.

    The current record is None if no document was applied yet.
    """
    if not serial:
        current = await read_current(session.kv)
        if isinstance(current, Err):
            return Err(unavailable_report(current.err_value.message))
        stored = current.ok_value
        return Ok(stored.record if stored else None)
    found = await read_serial(session.kv, serial)
    if isinstance(found, Err):
        return Err(unavailable_report(found.err_value.message))
    if found.ok_value is None:
        return Err(unknown_serial_report(serial))
    return Ok(found.ok_value)


def _plan(
    base: str, old: Document | None, new: Document, force: bool
) -> PlanReport:
    changes = diff_documents(old or EMPTY_DOCUMENT, new)
    return PlanReport(base, changes, find_faults(old, new, force))
