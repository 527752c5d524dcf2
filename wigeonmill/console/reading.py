"""Read-only pages: overview, lists, processes, history, download."""

import json

from result import Err
from tornado.web import HTTPError

from wigeonmill.config.checks import in_service_targets
from wigeonmill.config.full_values import to_full_builtins
from wigeonmill.config.history import read_current
from wigeonmill.config.history import read_latest
from wigeonmill.console.base import ConsoleHandler
from wigeonmill.console.items import ItemRef
from wigeonmill.console.items import list_items
from wigeonmill.tools.fleet import ProcessStanding
from wigeonmill.tools.record_commands import make_rows

LIST_ROWS = 100
HISTORY_ROWS = 20


class OverviewHandler(ConsoleHandler):
    """The services, and the failure domains with drain or restore buttons."""

    async def get(self) -> None:
        """Show the draft, or the newest record if there are no changes."""
        await self.refresh_draft()
        document = self.current_draft().document
        counts = {
            service.name: len(in_service_targets(document, service))
            for service in document.services
        }
        self.render('overview.html', document=document, counts=counts)


class ListHandler(ConsoleHandler):
    """The items of one kind, filtered by a substring of their name."""

    async def get(self) -> None:
        """Show the first matching rows."""
        await self.refresh_draft()
        ref = self.read_ref()
        items = list_items(self.current_draft().document, ref)
        if not isinstance(items, list):
            raise HTTPError(404)
        name_filter = self.get_argument('filter', '')
        found = [item for item in items if name_filter in item.name]
        self.render(
            'list.html',
            ref=ref,
            rows=found[:LIST_ROWS],
            found=len(found),
            filter=name_filter,
            child_ref=ItemRef,
        )


class StatusHandler(ConsoleHandler):
    """The processes and the serial that each has in force."""

    async def get(self) -> None:
        """Query every process once and show the result."""
        found = await read_current(self.context.kv)
        rows: list[ProcessStanding] = []
        serial = 0
        if isinstance(found, Err):
            message = found.err_value.message
            self.notice = f'The key-value service does not answer ({message}).'
        elif found.ok_value is not None:
            record = found.ok_value.record
            serial = record.serial
            rows = await self.context.read_standing(record)
        behind = [row for row in rows if not row.up_to_date]
        self.render(
            'status.html',
            serial=serial,
            rows=rows,
            behind=behind,
            accepted=self.get_argument('accepted', ''),
        )


class HistoryHandler(ConsoleHandler):
    """The latest accepted records."""

    async def get(self) -> None:
        """Show the author and the number of changes of each record."""
        found = await read_latest(self.context.kv, HISTORY_ROWS + 1)
        rows = []
        if isinstance(found, Err):
            message = found.err_value.message
            self.notice = f'The key-value service does not answer ({message}).'
        else:
            rows = make_rows(found.ok_value)[:HISTORY_ROWS]
        self.render('history.html', rows=rows)


class DownloadHandler(ConsoleHandler):
    """The draft's document as a file for version control."""

    def get(self) -> None:
        """Send the document."""
        document = to_full_builtins(self.current_draft().document)
        self.set_header('Content-Type', 'application/json')
        self.set_header(
            'Content-Disposition', 'attachment; filename="wigeonmill.json"'
        )
        self.finish(json.dumps(document, indent=2) + '\n')
