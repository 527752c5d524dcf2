"""The base of all console pages: session, headers and errors."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from result import Err
from tornado.web import HTTPError
from tornado.web import RequestHandler

from wigeonmill.clock import Clock
from wigeonmill.config.history import read_current
from wigeonmill.config.model import ConfigRecord
from wigeonmill.console.drafts import Draft
from wigeonmill.console.drafts import SessionStore
from wigeonmill.console.items import ItemKind
from wigeonmill.console.items import ItemRef
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.tools.fleet import ProcessStanding

SESSION_COOKIE = 'session'
_SECURITY_HEADERS = {
    'Content-Security-Policy': (
        "default-src 'none'; style-src 'self'; img-src 'self'; "
        "form-action 'self'; frame-ancestors 'none'; base-uri 'none'"
    ),
    'X-Frame-Options': 'DENY',
    'X-Content-Type-Options': 'nosniff',
    'Referrer-Policy': 'same-origin',
    'Cross-Origin-Opener-Policy': 'same-origin',
    'Cache-Control': 'no-store',
}
_HSTS_VALUE = 'max-age=31536000'

_NAV_LINKS = (
    ('/', 'Overview'),
    ('/list?kind=team', 'Teams'),
    ('/list?kind=model', 'Models'),
    ('/list?kind=store-vm', 'Store VMs'),
    ('/edit?kind=limits', 'Limits'),
    ('/status', 'Processes'),
    ('/history', 'History'),
)

ReadStanding = Callable[[ConfigRecord], Awaitable[list[ProcessStanding]]]


@dataclass(frozen=True, slots=True)
class ConsoleContext:
    """Dependencies of the pages; `secure` if the console uses TLS."""

    kv: KeyValue
    clock: Clock
    sessions: SessionStore
    new_id: Callable[[], str]
    read_standing: ReadStanding
    secure: bool = False


class ConsoleHandler(RequestHandler):
    """A page, which needs a session unless `needs_session` is False."""

    needs_session = True

    def initialize(self, context: ConsoleContext) -> None:
        self.context = context
        self.notice = ''

    def set_default_headers(self) -> None:
        self.clear_header('Server')
        for name, value in _SECURITY_HEADERS.items():
            self.set_header(name, value)

    def prepare(self) -> None:
        if self.context.secure:
            self.set_header('Strict-Transport-Security', _HSTS_VALUE)
        self.draft = self._find_draft()
        if self.draft is None and self.needs_session:
            self.redirect('/login', status=303)

    @property
    def session_id(self) -> str:
        """The session id from the signed cookie, or an empty string."""
        cookie = self.get_signed_cookie(SESSION_COOKIE, max_age_days=1)
        return cookie.decode() if cookie else ''

    def _find_draft(self) -> Draft | None:
        session_id = self.session_id
        return self.context.sessions.find(session_id) if session_id else None

    def current_draft(self) -> Draft:
        """Return the session's draft."""
        if self.draft is None:
            raise HTTPError(403)
        return self.draft

    async def refresh_draft(self) -> None:
        """Move a draft without changes to the newest record.

        A draft with changes is left as it is; if there is a newer serial,
        a notice says so.
        """
        draft = self.current_draft()
        found = await read_current(self.context.kv)
        if isinstance(found, Err):
            self.notice = (
                'The key-value service does not answer '
                f'({found.err_value.message}). The last known state is shown.'
            )
            return
        stored = found.ok_value
        serial = stored.record.serial if stored else 0
        if not draft.changes and serial != draft.base_serial:
            draft.reset_to(stored.record if stored else None)
        elif serial > draft.base_serial:
            self.notice = (
                f'Serial {serial} was accepted after you started from '
                f'serial {draft.base_serial}.'
            )

    def read_ref(self) -> ItemRef:
        """Return the item identified by the request's arguments."""
        try:
            kind = ItemKind(self.get_argument('kind'))
        except ValueError:
            raise HTTPError(404) from None
        name = self.get_argument('name', '')
        return ItemRef(kind, name, self.get_argument('parent', ''))

    def get_template_namespace(self) -> dict[str, Any]:
        namespace = super().get_template_namespace()
        namespace.update(
            draft=self.draft,
            notice=self.notice,
            ItemKind=ItemKind,
            nav_links=_NAV_LINKS,
        )
        return namespace

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        messages = {
            403: 'The form has expired. Go back, reload the page and '
            'submit it again.',
            404: 'There is no such page or item.',
        }
        message = messages.get(
            status_code, 'The console could not process the request.'
        )
        self.render('error.html', status=status_code, message=message)


class MissingHandler(ConsoleHandler):
    """Replies with status 404 to unknown paths."""

    needs_session = False

    def prepare(self) -> None:
        super().prepare()
        raise HTTPError(404)
