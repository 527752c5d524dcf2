"""Commands that take units out of service and put them back."""

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
from wigeonmill.tools.options import Applying
from wigeonmill.tools.options import ApplyOptions
from wigeonmill.tools.options import Services
from wigeonmill.tools.report import problem_of
from wigeonmill.tools.report import Report
from wigeonmill.tools.session import open_session
from wigeonmill.tools.session import ServiceOptions
from wigeonmill.tools.session import Session
from wigeonmill.tools.session import Surroundings

Kind = Annotated[
    Literal['domain', 'target', 'store-vm'], cappa.Arg(help='What it is.')
]
UnitName = Annotated[str, cappa.Arg(help='Its name in the document.')]


@cappa.command(name='drain', help='Take a domain or target out of service.')
@dataclass(frozen=True, slots=True)
class DrainCommand:
    """Takes a unit out of service on top of the newest document."""

    kind: Kind
    name: UnitName
    options: Applying = field(default_factory=ApplyOptions)
    services: Services = field(default_factory=ServiceOptions)

    @property
    def json(self) -> bool:
        """Whether to print JSON."""
        return self.options.json

    async def run(self, around: Surroundings) -> Report:
        """Return the accepted record or what stood against it."""
        unit = UnitKind(self.kind)
        session = open_session(self.services, around, self.options.wait)
        return await _switch(session, self.options, unit, self.name, False)


@cappa.command(name='restore', help='Put a domain or target into service.')
@dataclass(frozen=True, slots=True)
class RestoreCommand:
    """Puts a unit into service on top of the newest document."""

    kind: Kind
    name: UnitName
    options: Applying = field(default_factory=ApplyOptions)
    services: Services = field(default_factory=ServiceOptions)

    @property
    def json(self) -> bool:
        """Whether to print JSON."""
        return self.options.json

    async def run(self, around: Surroundings) -> Report:
        """Return the accepted record or what stood against it."""
        unit = UnitKind(self.kind)
        session = open_session(self.services, around, self.options.wait)
        return await _switch(session, self.options, unit, self.name, True)


async def _switch(
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
        report = problem_of(outcome.err_value)
    else:
        report = await accepted_report(session, outcome.ok_value, options)
    session.close()
    return report
