"""Reports of commands, printed as text or as JSON."""

from collections.abc import Iterable
from dataclasses import dataclass
import json
from typing import Protocol

from wigeonmill.config.acceptance import Conflict
from wigeonmill.config.acceptance import OutcomeUnknown
from wigeonmill.config.acceptance import Rejected
from wigeonmill.config.acceptance import SubmitError
from wigeonmill.config.acceptance import Unavailable
from wigeonmill.config.diff import Change
from wigeonmill.config.faults import Fault
from wigeonmill.config.full_values import to_full_builtins
from wigeonmill.tools.exit_codes import ExitCode


class Report(Protocol):
    """A dataclass whose fields are the JSON output."""

    @property
    def exit_code(self) -> ExitCode:
        """The exit code of the command."""

    def lines(self) -> Iterable[str]:
        """Return the lines of the text output."""


@dataclass(frozen=True, slots=True)
class ProblemReport:
    """A command that failed."""

    exit_code: ExitCode
    problem: str

    def lines(self) -> Iterable[str]:
        """Return the problem as one line."""
        yield self.problem


@dataclass(frozen=True, slots=True)
class FaultsReport:
    """The faults of a document, which is valid if there are none."""

    source: str
    faults: list[Fault]

    @property
    def exit_code(self) -> ExitCode:
        """NEGATIVE if there are faults."""
        return ExitCode.NEGATIVE if self.faults else ExitCode.OK

    def lines(self) -> Iterable[str]:
        """Return one line for each fault."""
        for fault in self.faults:
            yield f'{self.source}{fault.line()}'
        if not self.faults:
            yield f'{self.source}: no faults'


@dataclass(frozen=True, slots=True)
class ConflictReport:
    """Another operator's record was accepted first."""

    serial: int
    author: str
    base_known: bool
    changes: list[Change]

    @property
    def exit_code(self) -> ExitCode:
        """Always CONFLICT."""
        return ExitCode.CONFLICT

    def lines(self) -> Iterable[str]:
        """Return the other operator's record and its changes."""
        yield (
            f'Conflict: {self.author} put serial {self.serial} in force '
            'first. Nothing was written.'
        )
        if not self.base_known:
            yield 'The serial that you started from is no longer stored.'
        for change in self.changes:
            yield f'  {change.line()}'
        yield 'Review it with `wigeonmill diff` and apply again.'


def submit_error_report(error: SubmitError) -> Report:
    """Return the report of a rejected or failed submission."""
    match error:
        case Conflict():
            winner = error.winner
            return ConflictReport(
                winner.serial, winner.author, error.base_known, error.changes
            )
        case Rejected():
            return FaultsReport('', error.faults)
        case Unavailable():
            return unavailable_report(error.message)
        case OutcomeUnknown():
            problem = (
                f'The outcome is unknown ({error.message}): the change may '
                'have been accepted. Apply the same document again to check.'
            )
            return ProblemReport(ExitCode.UNKNOWN, problem)


def unavailable_report(message: str) -> Report:
    """Return the report that the key-value service did not answer."""
    problem = (
        f'The key-value service did not answer ({message}). '
        'Nothing was written.'
    )
    return ProblemReport(ExitCode.UNAVAILABLE, problem)


def format_table(header: list[str], rows: list[list[str]]) -> Iterable[str]:
    """Return the lines of a table with aligned columns."""
    table = [header, *rows]
    widths = [max(len(row[i]) for row in table) for i in range(len(header))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths))
        yield '  '.join(cells).rstrip()


def format_json(report: Report) -> str:
    """Return a report as one JSON object with its exit code."""
    fields = to_full_builtins(report)
    fields['exit_code'] = int(report.exit_code)
    return json.dumps(fields)
