"""The command that shows which serial each process has in force."""

from dataclasses import dataclass
from dataclasses import field

import cappa
from result import Err

from wigeonmill.config.history import read_current
from wigeonmill.tools.change_reports import StandingReport
from wigeonmill.tools.options import JsonFlag
from wigeonmill.tools.options import ServiceOptionsArg
from wigeonmill.tools.record_commands import no_configuration_report
from wigeonmill.tools.report import Report
from wigeonmill.tools.report import unavailable_report
from wigeonmill.tools.session import Dependencies
from wigeonmill.tools.session import open_session
from wigeonmill.tools.session import ServiceOptions
from wigeonmill.tools.session import Session


@cappa.command(name='status', help='Show which processes are behind.')
@dataclass(frozen=True, slots=True)
class StatusCommand:
    """Queries each process for its serial."""

    json: JsonFlag = False
    services: ServiceOptionsArg = field(default_factory=ServiceOptions)

    async def run(self, deps: Dependencies) -> Report:
        """Return a row for each process."""
        opened = open_session(self.services, deps, True)
        if isinstance(opened, Err):
            return opened.err_value
        session = opened.ok_value
        report = await _read(session)
        session.close()
        return report


async def _read(session: Session) -> Report:
    current = await read_current(session.kv)
    if isinstance(current, Err):
        return unavailable_report(current.err_value.message)
    stored = current.ok_value
    if stored is None:
        return no_configuration_report()
    record = stored.record
    rows = await session.read_standing(record)
    return StandingReport(record.serial, rows)
