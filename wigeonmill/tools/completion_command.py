"""The command that prints a shell's completion script."""

from dataclasses import dataclass
from typing import Annotated
from typing import Literal

import cappa
from cappa.completion.shells import available_shells

from wigeonmill.tools.document_commands import TextReport
from wigeonmill.tools.report import Report
from wigeonmill.tools.session import Dependencies

PROGRAM = 'wigeonmill'


@cappa.command(name='completion', help="Print a shell's completion script.")
@dataclass(frozen=True, slots=True)
class CompletionCommand:
    """Prints the completion script for one shell."""

    shell: Annotated[
        Literal['bash', 'zsh', 'fish'], cappa.Arg(help='The shell.')
    ]

    @property
    def json(self) -> bool:
        """The script is never printed as JSON."""
        return False

    async def run(self, deps: Dependencies) -> Report:
        """Return the script."""
        handler = available_shells[self.shell]
        arg: cappa.Arg[str] = cappa.Arg(
            long=['--completion'], field_name='completion'
        )
        return TextReport(handler.backend_template(PROGRAM, arg))
