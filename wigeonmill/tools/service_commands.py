"""Commands that take units out of service and restore them."""

from dataclasses import dataclass
from dataclasses import field
from typing import Annotated
from typing import Literal

import cappa
from result import Err
from result import Result

from wigeonmill.config.amendment import amend_current
from wigeonmill.config.amendment import set_in_service
from wigeonmill.config.amendment import UnitKind
from wigeonmill.tools.change_reports import accepted_report
from wigeonmill.tools.options import ApplyOptions
from wigeonmill.tools.options import ApplyOptionsArg
from wigeonmill.tools.options import ServiceOptionsArg
from wigeonmill.tools.report import Report
from wigeonmill.tools.report import submit_error_report
from wigeonmill.tools.session import Dependencies
from wigeonmill.tools.session import open_session
from wigeonmill.tools.session import ServiceOptions
from wigeonmill.tools.session import Session

Kind = Annotated[
    Literal['domain', 'target', 'store-vm'],
    cappa.Arg(help='The kind of unit.'),
]
UnitName = Annotated[str, cappa.Arg(help='The name in the document.')]


@cappa.command(name='drain', help='Take a domain or target out of service.')
@dataclass(frozen=True, slots=True)
class DrainCommand:
    """Takes a unit of the current document out of service."""

    kind: Kind
    name: UnitName
    options: ApplyOptionsArg = field(default_factory=ApplyOptions)
    services: ServiceOptionsArg = field(default_factory=ServiceOptions)

    @property
    def json(self) -> bool:
        """Whether to print JSON."""
        return self.options.json

    async def run(self, deps: Dependencies) -> Report:
        """Return the accepted change, or why it was not accepted."""
        unit = UnitKind(self.kind)
        session = open_session(self.services, deps, self.options.wait)
        return await _set_in_service(
            session, self.options, unit, self.name, False
        )


@cappa.command(
    name='restore', help='Put a domain or target back into service.'
)
@dataclass(frozen=True, slots=True)
class RestoreCommand:
    """Puts a unit of the current document back into service."""

    kind: Kind
    name: UnitName
    options: ApplyOptionsArg = field(default_factory=ApplyOptions)
    services: ServiceOptionsArg = field(default_factory=ServiceOptions)

    @property
    def json(self) -> bool:
        """Whether to print JSON."""
        return self.options.json

    async def run(self, deps: Dependencies) -> Report:
        """Return the accepted change, or why it was not accepted."""
        unit = UnitKind(self.kind)
        session = open_session(self.services, deps, self.options.wait)
        return await _set_in_service(
            session, self.options, unit, self.name, True
        )


async def _set_in_service(
    opened: Result[Session, Report],
    options: ApplyOptions,
    kind: UnitKind,
    name: str,
    in_service: bool,
) -> Report:
    if isinstance(opened, Err):
        return opened.err_value
    session = opened.ok_value
    outcome = await amend_current(
        session.kv,
        session.clock,
        lambda document: set_in_service(document, kind, name, in_service),
        session.authorship(options.force),
    )
    if isinstance(outcome, Err):
        report = submit_error_report(outcome.err_value)
    else:
        report = await accepted_report(session, outcome.ok_value, options)
    session.close()
    return report
