"""Commands that plan or make a change: diff, apply, rollback."""

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
from wigeonmill.tools.options import Applying
from wigeonmill.tools.options import ApplyOptions
from wigeonmill.tools.options import JsonFlag
from wigeonmill.tools.options import Services
from wigeonmill.tools.report import FaultsReport
from wigeonmill.tools.report import problem_of
from wigeonmill.tools.report import ProblemReport
from wigeonmill.tools.report import Report
from wigeonmill.tools.report import unavailable
from wigeonmill.tools.session import open_session
from wigeonmill.tools.session import ServiceOptions
from wigeonmill.tools.session import Session
from wigeonmill.tools.session import Surroundings

DocumentFile = Annotated[pathlib.Path, cappa.Arg(help='The document.')]


@cappa.command(name='diff', help='Show what applying a document changes.')
@dataclass(frozen=True, slots=True)
class DiffCommand:
    """Shows the plan without writing anything."""

    file: DocumentFile
    against: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help='Compare with this file, offline.'),
    ] = None
    serial: Annotated[
        int, cappa.Arg(long=True, help='Compare with this serial.')
    ] = 0
    json: JsonFlag = False
    services: Services = field(default_factory=ServiceOptions)

    async def run(self, around: Surroundings) -> Report:
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
        opened = open_session(self.services, around)
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
        bool, cappa.Arg(long=True, help='Do not ask on a terminal.')
    ] = False
    expected_serial: Annotated[
        int, cappa.Arg(long=True, help='Conflict unless this is current.')
    ] = -1
    above_serial: Annotated[
        int, cappa.Arg(long=True, help='Take a serial above this one.')
    ] = 0
    options: Applying = field(default_factory=ApplyOptions)
    services: Services = field(default_factory=ServiceOptions)

    @property
    def json(self) -> bool:
        """Whether to print JSON."""
        return self.options.json

    async def run(self, around: Surroundings) -> Report:
        """Return the accepted record or what stood against it."""
        read = _read_file(self.file)
        if isinstance(read, Err):
            return read.err_value
        opened = open_session(self.services, around, self.options.wait)
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
            if not session.around.confirm(question):
                return ProblemReport(ExitCode.NEGATIVE, 'Not applied.')
        if self.expected_serial >= 0:
            serial = self.expected_serial
        submission = Submission(
            document,
            session.authorship().author,
            session.around.new_id(),
            serial,
            self.options.force,
            self.above_serial,
        )
        return await _submit(session, submission, self.options)


@cappa.command(name='rollback', help='Apply an earlier serial as a new one.')
@dataclass(frozen=True, slots=True)
class RollbackCommand:
    """Goes back to an earlier document under a new, higher serial."""

    serial: Annotated[int, cappa.Arg(help='The serial to go back to.')]
    options: Applying = field(default_factory=ApplyOptions)
    services: Services = field(default_factory=ServiceOptions)

    @property
    def json(self) -> bool:
        """Whether to print JSON."""
        return self.options.json

    async def run(self, around: Surroundings) -> Report:
        """Return the accepted record or what stood against it."""
        opened = open_session(self.services, around, self.options.wait)
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
            return no_such_serial(self.serial)
        submission = Submission(
            earlier.ok_value.document,
            session.authorship().author,
            session.around.new_id(),
            current.ok_value.serial,
            self.options.force,
        )
        return await _submit(session, submission, self.options)


def no_such_serial(serial: int) -> Report:
    """Return the report of a record that is not kept."""
    problem = f'Serial {serial} is not kept; see `wigeonmill history`.'
    return ProblemReport(ExitCode.NEGATIVE, problem)


async def _submit(
    session: Session, submission: Submission, options: ApplyOptions
) -> Report:
    outcome = await submit(session.kv, session.clock, submission)
    if isinstance(outcome, Err):
        return problem_of(outcome.err_value)
    return await accepted_report(session, outcome.ok_value, options)


def _read_file(path: pathlib.Path) -> Result[Document, Report]:
    read = read_document(path)
    if isinstance(read, Err):
        return Err(FaultsReport(f'{path}', read.err_value))
    return read


async def _read_record(
    session: Session, serial: int
) -> Result[ConfigRecord | None, Report]:
    """Read a serial; 0 is the current one, None if there is none yet."""
    if not serial:
        current = await read_current(session.kv)
        if isinstance(current, Err):
            return Err(unavailable(current.err_value.message))
        stored = current.ok_value
        return Ok(stored.record if stored else None)
    found = await read_serial(session.kv, serial)
    if isinstance(found, Err):
        return Err(unavailable(found.err_value.message))
    if found.ok_value is None:
        return Err(no_such_serial(serial))
    return Ok(found.ok_value)


def _plan(
    base: str, old: Document | None, new: Document, force: bool
) -> PlanReport:
    changes = diff_documents(old or EMPTY_DOCUMENT, new)
    return PlanReport(base, changes, find_faults(old, new, force))
