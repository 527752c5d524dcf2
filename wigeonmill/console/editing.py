"""Pages that change the draft; nothing is submitted here."""

from result import Err
from tornado.web import HTTPError

from wigeonmill.config.amendment import set_in_service
from wigeonmill.config.amendment import UnitKind
from wigeonmill.config.history import read_serial
from wigeonmill.console.base import ConsoleHandler
from wigeonmill.console.forms import make_form
from wigeonmill.console.forms import read_form
from wigeonmill.console.items import find_item
from wigeonmill.console.items import ItemKind
from wigeonmill.console.items import ItemRef
from wigeonmill.console.items import list_items
from wigeonmill.console.items import remove_item


class EditHandler(ConsoleHandler):
    """The form of one item."""

    def get(self) -> None:
        """Show the form."""
        ref = self._read_known_ref()
        form = make_form(self.current_draft().document, ref)
        self.render('edit.html', form=form, ref=ref)

    def post(self) -> None:
        """Take what was typed, or show it again with the faults."""
        ref = self._read_known_ref()
        draft = self.current_draft()
        outcome = read_form(draft.document, ref, self._read_field)
        if isinstance(outcome, Err):
            self.set_status(422)
            self.render('edit.html', form=outcome.err_value, ref=ref)
            return
        draft.change(outcome.ok_value)
        self.redirect('/review', status=303)

    def _read_field(self, name: str) -> list[str]:
        return self.get_body_arguments(f'field_{name}')

    def _read_known_ref(self) -> ItemRef:
        ref = self.read_ref()
        document = self.current_draft().document
        if ref.kind is ItemKind.TARGET and list_items(document, ref) is None:
            raise HTTPError(404)
        if ref.name and find_item(document, ref) is None:
            raise HTTPError(404)
        return ref


class RemoveHandler(ConsoleHandler):
    """Removes an item from the draft."""

    def post(self) -> None:
        """Remove it and show what the draft changes."""
        draft = self.current_draft()
        ref = self.read_ref()
        if ref.kind is ItemKind.LIMITS:
            raise HTTPError(404)
        draft.change(remove_item(draft.document, ref))
        self.redirect('/review', status=303)


class SwitchHandler(ConsoleHandler):
    """Takes a unit out of service or puts it back, in the draft."""

    def post(self) -> None:
        """Switch it and show what the draft changes."""
        draft = self.current_draft()
        ref = self.read_ref()
        try:
            unit = UnitKind(ref.kind.value)
        except ValueError:
            raise HTTPError(404) from None
        in_service = self.get_body_argument('in_service') == 'true'
        changed = set_in_service(draft.document, unit, ref.name, in_service)
        if isinstance(changed, Err):
            raise HTTPError(404)
        draft.change(changed.ok_value)
        self.redirect('/review', status=303)


class DiscardHandler(ConsoleHandler):
    """Drops the draft's changes."""

    async def post(self) -> None:
        """Start anew from the newest record."""
        draft = self.current_draft()
        draft.document = draft.base
        draft.conflict = None
        draft.merge_conflicts = []
        await self.refresh_draft()
        self.redirect('/', status=303)


class RollbackHandler(ConsoleHandler):
    """Takes an earlier document into the draft."""

    async def post(self) -> None:
        """Load it and show what going back would change."""
        text = self.get_body_argument('serial')
        serial = int(text) if text.isascii() and text.isdigit() else 0
        found = await read_serial(self.context.kv, serial)
        if isinstance(found, Err) or found.ok_value is None:
            raise HTTPError(404)
        draft = self.current_draft()
        draft.document = draft.base
        await self.refresh_draft()
        draft.change(found.ok_value.document)
        self.redirect('/review', status=303)
