"""Reports of planned and accepted changes."""

from collections.abc import Iterable
from dataclasses import dataclass

from wigeonmill.config.acceptance import Accepted
from wigeonmill.config.diff import Change
from wigeonmill.config.faults import Fault
from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.fleet import ProcessStanding
from wigeonmill.tools.fleet import Spread
from wigeonmill.tools.fleet import Standing
from wigeonmill.tools.options import ApplyOptions
from wigeonmill.tools.report import format_table
from wigeonmill.tools.report import Report
from wigeonmill.tools.session import Session


@dataclass(frozen=True, slots=True)
class PlanReport:
    """The changes that a document would make, and its faults."""

    base: str
    changes: list[Change]
    faults: list[Fault]

    @property
    def exit_code(self) -> ExitCode:
        """NEGATIVE if the document would be rejected."""
        return ExitCode.NEGATIVE if self.faults else ExitCode.OK

    def lines(self) -> Iterable[str]:
        """Return one line for each change and fault."""
        noun = 'change' if len(self.changes) == 1 else 'changes'
        yield f'{len(self.changes)} {noun} against {self.base}'
        for change in self.changes:
            yield f'  {change.line()}'
        for fault in self.faults:
            yield f'! {fault.line()}'


@dataclass(frozen=True, slots=True)
class StandingReport:
    """The serial that each process has in force."""

    serial: int
    processes: list[ProcessStanding]

    @property
    def exit_code(self) -> ExitCode:
        """NEGATIVE if a process is unreachable or has another serial."""
        if all(r.standing is Standing.IN_FORCE for r in self.processes):
            return ExitCode.OK
        return ExitCode.NEGATIVE

    def lines(self) -> Iterable[str]:
        """Return a table of the processes."""
        yield f'accepted serial {self.serial}'
        header = ['process', 'role', 'address', 'serial', 'standing']
        yield from format_table(header, [_row(r) for r in self.processes])


@dataclass(frozen=True, slots=True)
class AcceptedReport:
    """An accepted change; with --wait, also where it is in force."""

    serial: int
    changed: bool
    changes: list[Change]
    spread: Spread | None = None

    @property
    def exit_code(self) -> ExitCode:
        """NEGATIVE if it was not in force everywhere when the wait ended."""
        if self.spread is None or self.spread.complete:
            return ExitCode.OK
        return ExitCode.NEGATIVE

    def lines(self) -> Iterable[str]:
        """Return the serial and the processes that are behind."""
        if self.changed:
            yield f'Accepted as serial {self.serial}.'
        else:
            yield f'Nothing to change: serial {self.serial} is the same.'
        if self.spread is not None:
            yield from _spread_lines(self.spread)


async def accepted_report(
    session: Session, accepted: Accepted, options: ApplyOptions
) -> Report:
    """Return the report of an accepted change, after --wait if given."""
    record = accepted.record
    spread = None
    if options.wait:
        timeout_ms = options.wait_timeout * 1000.0
        spread = await session.wait_in_force(record, timeout_ms)
    changed = bool(accepted.changes)
    return AcceptedReport(record.serial, changed, accepted.changes, spread)


def _spread_lines(spread: Spread) -> Iterable[str]:
    took_s = spread.took_ms / 1000.0
    count = len(spread.processes)
    if spread.complete:
        yield f'In force in all {count} processes after {took_s:.2f} s.'
        return
    behind = [row for row in spread.processes if not row.up_to_date]
    yield f'After {took_s:.2f} s, {len(behind)} of {count} are behind:'
    header = ['process', 'role', 'address', 'serial', 'standing']
    yield from format_table(header, [_row(row) for row in behind])


def _row(row: ProcessStanding) -> list[str]:
    standing = row.standing.value
    if row.detail:
        standing = f'{standing} ({row.detail})'
    serial = str(row.serial) if row.serial else '-'
    return [row.process or '-', row.role or '-', row.address, serial, standing]
