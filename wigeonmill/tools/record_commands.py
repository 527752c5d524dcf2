"""Commands that read the stored records: show, history."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import datetime
import json
from typing import Annotated

import cappa
from result import Err

from wigeonmill.config.diff import diff_documents
from wigeonmill.config.full_values import to_full_builtins
from wigeonmill.config.history import read_current
from wigeonmill.config.history import read_latest
from wigeonmill.config.history import read_serial
from wigeonmill.config.model import ConfigRecord
from wigeonmill.tools.change_commands import unknown_serial_report
from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.options import JsonFlag
from wigeonmill.tools.options import ServiceOptionsArg
from wigeonmill.tools.report import format_table
from wigeonmill.tools.report import ProblemReport
from wigeonmill.tools.report import Report
from wigeonmill.tools.report import unavailable_report
from wigeonmill.tools.session import Dependencies
from wigeonmill.tools.session import open_session
from wigeonmill.tools.session import ServiceOptions
from wigeonmill.tools.session import Session


@dataclass(frozen=True, slots=True)
class RecordReport:
    """A stored record; the text output is its document alone."""

    record: ConfigRecord
    exit_code: ExitCode = ExitCode.OK

    def lines(self) -> Iterable[str]:
        """Return the document as JSON."""
        document = to_full_builtins(self.record.document)
        yield json.dumps(document, indent=2)


@dataclass(frozen=True, slots=True)
class HistoryRow:
    """One accepted record; `changes` is -1 without a stored predecessor."""

    serial: int
    accepted_at: str
    author: str
    changes: int
    submission_id: str


@dataclass(frozen=True, slots=True)
class HistoryReport:
    """The latest accepted records, newest first."""

    records: list[HistoryRow]
    exit_code: ExitCode = ExitCode.OK

    def lines(self) -> Iterable[str]:
        """Return a table."""
        header = ['serial', 'accepted at (UTC)', 'author', 'changes']
        rows = [
            [
                str(row.serial),
                row.accepted_at,
                row.author,
                str(row.changes) if row.changes >= 0 else '-',
            ]
            for row in self.records
        ]
        return format_table(header, rows)


@cappa.command(name='show', help='Print a stored document.')
@dataclass(frozen=True, slots=True)
class ShowCommand:
    """Prints the current document or an earlier one."""

    serial: Annotated[
        int,
        cappa.Arg(long=True, help='The serial (default: the current one).'),
    ] = 0
    json: JsonFlag = False
    services: ServiceOptionsArg = field(default_factory=ServiceOptions)

    async def run(self, deps: Dependencies) -> Report:
        """Return the record."""
        opened = open_session(self.services, deps)
        if isinstance(opened, Err):
            return opened.err_value
        session = opened.ok_value
        report = await self._read(session)
        session.close()
        return report

    async def _read(self, session: Session) -> Report:
        if self.serial:
            found = await read_serial(session.kv, self.serial)
            if isinstance(found, Err):
                return unavailable_report(found.err_value.message)
            if found.ok_value is None:
                return unknown_serial_report(self.serial)
            return RecordReport(found.ok_value)
        current = await read_current(session.kv)
        if isinstance(current, Err):
            return unavailable_report(current.err_value.message)
        if current.ok_value is None:
            return no_configuration_report()
        return RecordReport(current.ok_value.record)


@cappa.command(name='history', help='List the latest accepted changes.')
@dataclass(frozen=True, slots=True)
class HistoryCommand:
    """Lists the latest accepted records."""

    limit: Annotated[
        int, cappa.Arg(long=True, help='Maximum number of records.')
    ] = 20
    json: JsonFlag = False
    services: ServiceOptionsArg = field(default_factory=ServiceOptions)

    async def run(self, deps: Dependencies) -> Report:
        """Return the records."""
        opened = open_session(self.services, deps)
        if isinstance(opened, Err):
            return opened.err_value
        session = opened.ok_value
        # The changes of the oldest row need one more record.
        found = await read_latest(session.kv, self.limit + 1)
        session.close()
        if isinstance(found, Err):
            return unavailable_report(found.err_value.message)
        return HistoryReport(make_rows(found.ok_value)[: self.limit])


def no_configuration_report() -> Report:
    """Return the report that no document was applied yet."""
    problem = 'There is no configuration yet; apply a document.'
    return ProblemReport(ExitCode.NEGATIVE, problem)


def make_rows(records: list[ConfigRecord]) -> list[HistoryRow]:
    """Return a row for each record, newest first."""
    rows = []
    for index, record in enumerate(records):
        changes = -1
        if index + 1 < len(records):
            previous = records[index + 1].document
            changes = len(diff_documents(previous, record.document))
        rows.append(_row(record, changes))
    return rows


def _row(record: ConfigRecord, changes: int) -> HistoryRow:
    accepted_at = datetime.datetime.fromtimestamp(
        record.accepted_at_ms / 1000, datetime.UTC
    )
    return HistoryRow(
        record.serial,
        f'{accepted_at:%Y-%m-%d %H:%M:%S}',
        record.author,
        changes,
        record.submission_id,
    )
