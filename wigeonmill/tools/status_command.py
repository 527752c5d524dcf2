"""The command that shows which serial each process has in force."""

from dataclasses import dataclass
from dataclasses import field

import cappa
from result import Err

from wigeonmill.config.history import read_current
from wigeonmill.tools.change_reports import StandingReport
from wigeonmill.tools.options import JsonFlag
from wigeonmill.tools.options import Services
from wigeonmill.tools.record_commands import no_configuration
from wigeonmill.tools.report import Report
from wigeonmill.tools.report import unavailable
from wigeonmill.tools.session import open_session
from wigeonmill.tools.session import ServiceOptions
from wigeonmill.tools.session import Session
from wigeonmill.tools.session import Surroundings


@cappa.command(name='status', help='Show which processes are behind.')
@dataclass(frozen=True, slots=True)
class StatusCommand:
    """Asks each process for its serial."""

    json: JsonFlag = False
    services: Services = field(default_factory=ServiceOptions)

    async def run(self, around: Surroundings) -> Report:
        """Return a row for each process."""
        opened = open_session(self.services, around, True)
        if isinstance(opened, Err):
            return opened.err_value
        session = opened.ok_value
        report = await _read(session)
        session.close()
        return report


async def _read(session: Session) -> Report:
    current = await read_current(session.kv)
    if isinstance(current, Err):
        return unavailable(current.err_value.message)
    stored = current.ok_value
    if stored is None:
        return no_configuration()
    record = stored.record
    rows = await session.read_standing(record)
    return StandingReport(record.serial, rows)
