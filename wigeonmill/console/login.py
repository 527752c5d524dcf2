"""The login and logout pages."""

from result import Err

from wigeonmill.console.base import ConsoleHandler
from wigeonmill.console.base import SESSION_COOKIE
from wigeonmill.tools.operator_settings import MAX_AUTHOR_CHARS


class LoginHandler(ConsoleHandler):
    """Asks for the operator's name and the operators' key."""

    needs_session = False

    def get(self) -> None:
        """Show the form."""
        self.render('login.html', author='', error='')

    def post(self) -> None:
        """Open a session if the key is valid."""
        author = self.get_argument('author', '')
        key = self.get_body_argument('key', '')
        if not author.isprintable() or not 0 < len(author) <= MAX_AUTHOR_CHARS:
            error = f'Enter your name, up to {MAX_AUTHOR_CHARS} characters'
            return self._refuse(author, error)
        outcome = self.context.sessions.log_in(author, key)
        if isinstance(outcome, Err):
            return self._refuse(author, outcome.err_value)
        self.set_signed_cookie(
            SESSION_COOKIE,
            outcome.ok_value,
            expires_days=None,
            httponly=True,
            samesite='Strict',
            secure=self.context.secure,
        )
        self.redirect('/', status=303)

    def _refuse(self, author: str, error: str) -> None:
        self.set_status(403)
        self.render('login.html', author=author, error=error)


class LogoutHandler(ConsoleHandler):
    """Ends the session."""

    def post(self) -> None:
        """End the session and discard its draft."""
        self.context.sessions.log_out(self.session_id)
        self.clear_cookie(SESSION_COOKIE)
        self.redirect('/login', status=303)
