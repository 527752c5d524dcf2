"""Commands that work offline: check, schema."""

from collections.abc import Iterable
from dataclasses import dataclass
import pathlib
from typing import Annotated

import cappa
from result import Err

from wigeonmill.config.acceptance import find_faults
from wigeonmill.config.reader import read_document
from wigeonmill.config.schema import schema_text
from wigeonmill.tools.exit_codes import ExitCode
from wigeonmill.tools.report import FaultsReport
from wigeonmill.tools.report import Report
from wigeonmill.tools.session import Dependencies


@dataclass(frozen=True, slots=True)
class TextReport:
    """Plain text output."""

    text: str
    exit_code: ExitCode = ExitCode.OK

    def lines(self) -> Iterable[str]:
        """Return the text without its final newline."""
        yield self.text.rstrip('\n')


@cappa.command(name='check', help='Check a document; needs no service.')
@dataclass(frozen=True, slots=True)
class CheckCommand:
    """Validates a document offline."""

    file: Annotated[pathlib.Path, cappa.Arg(help='The document.')]
    json: Annotated[bool, cappa.Arg(long=True, help='Print JSON.')] = False

    async def run(self, deps: Dependencies) -> Report:
        """Return all faults of the document."""
        read = read_document(self.file)
        if isinstance(read, Err):
            return FaultsReport(f'{self.file}', read.err_value)
        faults = find_faults(None, read.ok_value)
        return FaultsReport(f'{self.file}', faults)


@cappa.command(name='schema', help='Print the JSON Schema of documents.')
@dataclass(frozen=True, slots=True)
class SchemaCommand:
    """Prints the JSON Schema of documents, for use in editors."""

    @property
    def json(self) -> bool:
        """The schema itself is JSON, so there is no other output."""
        return False

    async def run(self, deps: Dependencies) -> Report:
        """Return the schema."""
        return TextReport(schema_text())
