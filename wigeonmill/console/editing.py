"""Pages that edit the draft without submitting it."""

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
    """The form for one item."""

    def get(self) -> None:
        """Show the form."""
        ref = self._read_known_ref()
        form = make_form(self.current_draft().document, ref)
        self.render('edit.html', form=form, ref=ref)

    def post(self) -> None:
        """Save the input to the draft, or show it again with its faults."""
        ref = self._read_known_ref()
        draft = self.current_draft()
        outcome = read_form(draft.document, ref, self._read_field)
        if isinstance(outcome, Err):
            self.set_status(422)
            self.render('edit.html', form=outcome.err_value, ref=ref)
            return
        draft.set_document(outcome.ok_value)
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
        """Remove the item and show the draft's changes."""
        draft = self.current_draft()
        ref = self.read_ref()
        if ref.kind is ItemKind.LIMITS:
            raise HTTPError(404)
        draft.set_document(remove_item(draft.document, ref))
        self.redirect('/review', status=303)


class SetInServiceHandler(ConsoleHandler):
    """Takes a unit out of service or restores it, in the draft."""

    def post(self) -> None:
        """Update the unit and show the draft's changes."""
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
        draft.set_document(changed.ok_value)
        self.redirect('/review', status=303)


class DiscardHandler(ConsoleHandler):
    """Discards the draft's changes."""

    async def post(self) -> None:
        """Reset the draft to the newest record."""
        draft = self.current_draft()
        draft.document = draft.base
        draft.conflict = None
        draft.merge_conflicts = []
        await self.refresh_draft()
        self.redirect('/', status=303)


class RollbackHandler(ConsoleHandler):
    """Loads an earlier document into the draft."""

    async def post(self) -> None:
        """Load the document and show the draft's changes."""
        text = self.get_body_argument('serial')
        serial = int(text) if text.isascii() and text.isdigit() else 0
        found = await read_serial(self.context.kv, serial)
        if isinstance(found, Err) or found.ok_value is None:
            raise HTTPError(404)
        draft = self.current_draft()
        draft.document = draft.base
        await self.refresh_draft()
        draft.set_document(found.ok_value.document)
        self.redirect('/review', status=303)
