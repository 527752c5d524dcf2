"""The command that traces a request in the logs."""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
import json
import pathlib
import sys
from typing import Annotated
from typing import Any

import cappa

from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.report import Report
from wigeonmill.tools.session import Dependencies

# Fields of every line that carry no information about the request.
_COMMON_FIELDS = frozenset(
    ('asctime', 'levelname', 'name', 'message', 'process', 'request_id')
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line from the log of a process."""

    at: str
    process: str
    message: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        shown = ' '.join(f'{k}={v}' for k, v in self.fields.items())
        return f'{self.at} {self.process}: {self.message} {shown}'.rstrip()


@dataclass(frozen=True, slots=True)
class ExplainReport:
    """The log lines about a request and about the targets it was sent to."""

    request_id: str
    story: list[LogLine]
    targets: list[LogLine]

    @property
    def exit_code(self) -> ExitCode:
        """NEGATIVE if no line mentions the request."""
        return ExitCode.OK if self.story else ExitCode.NEGATIVE

    def lines(self) -> Iterable[str]:
        """Return the lines about the request, then those about its targets."""
        if not self.story:
            yield f'no log line mentions request {self.request_id}'
            return
        yield f'Request {self.request_id}:'
        yield from (f'  {line}' for line in self.story)
        if self.targets:
            yield 'Its targets:'
            yield from (f'  {line}' for line in self.targets)


@cappa.command(name='explain', help='Trace a request in the logs.')
@dataclass(frozen=True, slots=True)
class ExplainCommand:
    """Collects the lines about a request from the logs of all processes."""

    request_id: Annotated[str, cappa.Arg(help="The request's id.")]
    files: Annotated[
        list[pathlib.Path],
        cappa.Arg(help='Log files (default: standard input).'),
    ] = field(default_factory=list)
    json: Annotated[bool, cappa.Arg(long=True, help='Print JSON.')] = False

    async def run(self, deps: Dependencies) -> Report:
        """Return the log lines about the request."""
        lines = [
            line for text in self._read_logs() for line in parse_lines(text)
        ]
        return explain_request(self.request_id, lines)

    def _read_logs(self) -> Iterator[str]:
        if not self.files:
            yield sys.stdin.read()
        for path in self.files:
            yield path.read_text(errors='replace')


def explain_request(
    request_id: str, lines: Iterable[LogLine]
) -> ExplainReport:
    """Return the report on a request from the lines of all processes."""
    ordered = sorted(lines, key=lambda line: line.at)
    found = [
        line for line in ordered if line.fields.get('request_id') == request_id
    ]
    target_names = {line.fields.get('target') for line in found} - {None, ''}
    processes = {line.process for line in found}
    targets = [
        line
        for line in ordered
        if line.fields.get('target') in target_names
        and 'request_id' not in line.fields
        # Orders of the leader explain outcomes that another entry logged.
        and (line.process in processes or line.message.startswith('order'))
    ]
    return ExplainReport(
        request_id,
        [_without_common_fields(line) for line in found],
        [_without_common_fields(line) for line in targets],
    )


def parse_lines(text: str) -> Iterator[LogLine]:
    """Parse the JSON lines of a log, skipping any prefix before the JSON."""
    for raw in text.splitlines():
        start = raw.find('{')
        if start < 0:
            continue
        try:
            fields = json.loads(raw[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and 'message' in fields:
            yield LogLine(
                str(fields.get('asctime', '')),
                str(fields.get('process', '')),
                str(fields['message']),
                fields,
            )


def _without_common_fields(line: LogLine) -> LogLine:
    fields = {k: v for k, v in line.fields.items() if k not in _COMMON_FIELDS}
    return LogLine(line.at, line.process, line.message, fields)
