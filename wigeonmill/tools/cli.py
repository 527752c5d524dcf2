"""The operators' command line."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
import os
import sys
from typing import TextIO

import cappa

from wigeonmill.tools.change_commands import ApplyCommand
from wigeonmill.tools.change_commands import DiffCommand
from wigeonmill.tools.change_commands import RollbackCommand
from wigeonmill.tools.completion_command import CompletionCommand
from wigeonmill.tools.completion_command import PROGRAM
from wigeonmill.tools.console_command import ConsoleCommand
from wigeonmill.tools.document_commands import CheckCommand
from wigeonmill.tools.document_commands import SchemaCommand
from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.explain_command import ExplainCommand
from wigeonmill.tools.record_commands import HistoryCommand
from wigeonmill.tools.record_commands import ShowCommand
from wigeonmill.tools.report import format_json
from wigeonmill.tools.report import ProblemReport
from wigeonmill.tools.service_commands import DrainCommand
from wigeonmill.tools.service_commands import RestoreCommand
from wigeonmill.tools.session import Dependencies
from wigeonmill.tools.session import make_dependencies
from wigeonmill.tools.status_command import StatusCommand
from wigeonmill.tools.where_command import WhereCommand

Command = (
    CheckCommand
    | DiffCommand
    | ApplyCommand
    | RollbackCommand
    | ShowCommand
    | HistoryCommand
    | StatusCommand
    | DrainCommand
    | RestoreCommand
    | ConsoleCommand
    | ExplainCommand
    | WhereCommand
    | SchemaCommand
    | CompletionCommand
)


@cappa.command(name=PROGRAM, help='Manage a wigeonmill system.')
@dataclass(frozen=True, slots=True)
class Wigeonmill:
    """The top-level command."""

    command: cappa.Subcommands[Command]


def main(
    argv: list[str] | None = None, deps: Dependencies | None = None
) -> None:
    """Run one command and exit with its exit code."""
    args = cappa.parse(Wigeonmill, argv=argv)
    deps = deps or make_dependencies(_confirm)
    command = args.command
    report = asyncio.run(command.run(deps))
    if command.json:
        _print([format_json(report)], sys.stdout)
    else:
        failed = isinstance(report, ProblemReport)
        _print(report.lines(), sys.stderr if failed else sys.stdout)
    sys.exit(int(ExitCode(report.exit_code)))


def _print(lines: Iterable[str], stream: TextIO) -> None:
    """Print lines; a closed pipe is not an error."""
    try:
        for line in lines:
            print(line, file=stream)
        stream.flush()
    except BrokenPipeError:
        # The interpreter flushes the stream again on exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), stream.fileno())


def _confirm(question: str) -> bool:
    """Ask for confirmation on a terminal; otherwise return True."""
    if not sys.stdin.isatty():
        print(question.rpartition('\n')[0], file=sys.stderr)
        return True
    return input(f'{question} [y/N] ').strip().lower() in ('y', 'yes')
