"""Operators' sessions and their unsubmitted changes."""

from dataclasses import dataclass
from dataclasses import field
import hmac
import pathlib
import re
import secrets

from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.config.acceptance import Conflict
from wigeonmill.config.diff import Change
from wigeonmill.config.diff import diff_documents
from wigeonmill.config.history import EMPTY_DOCUMENT
from wigeonmill.config.merge import merge_documents
from wigeonmill.config.merge import MergeConflict
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import Document
from wigeonmill.keys import hash_key

SESSION_LIFETIME_MS = 8 * 3600 * 1000.0
MAX_SESSIONS = 100
# Time after a wrong key during which no login is accepted.
LOGIN_RETRY_DELAY_MS = 1000.0

_KEY_HASH = re.compile(r'[0-9a-f]{64}')


@dataclass(slots=True)
class Draft:
    """An operator's unsubmitted changes to a record."""

    author: str
    expires_ms: float
    base_serial: int = 0
    base: Document = EMPTY_DOCUMENT
    document: Document = EMPTY_DOCUMENT
    submission_id: str = ''
    conflict: Conflict | None = None
    merge_conflicts: list[MergeConflict] = field(default_factory=list)

    @property
    def changes(self) -> list[Change]:
        """The changes from the base document."""
        return diff_documents(self.base, self.document)

    def set_document(self, document: Document) -> None:
        """Replace the document; a changed one gets a new submission id."""
        if document != self.document:
            self.document = document
            self.submission_id = ''

    def reset_to(self, record: ConfigRecord | None) -> None:
        """Discard the changes and base the draft on a record."""
        self.base = record.document if record else EMPTY_DOCUMENT
        self.base_serial = record.serial if record else 0
        self.document = self.base
        self.submission_id = ''
        self.conflict = None
        self.merge_conflicts = []

    def rebase(self) -> None:
        """Merge the changes into the record that was accepted first."""
        if self.conflict is None:
            return
        winner = self.conflict.winner
        merged = merge_documents(self.base, self.document, winner.document)
        self.reset_to(winner)
        self.document = merged.document
        self.merge_conflicts = merged.merge_conflicts


class SessionStore:
    """Operators' sessions, kept in memory."""

    __slots__ = ('_clock', '_drafts', '_hashes', '_next_login_ms')

    def __init__(self, clock: Clock, key_hashes: tuple[str, ...]) -> None:
        self._clock = clock
        self._hashes = key_hashes
        self._drafts: dict[str, Draft] = {}
        self._next_login_ms = 0.0

    def log_in(self, author: str, key: str) -> Result[str, str]:
        """Return a new session id, or why the login was refused."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_login_ms:
            return Err('Wait a second and try again')
        typed_hash = hash_key(key)
        if not any([hmac.compare_digest(typed_hash, h) for h in self._hashes]):
            self._next_login_ms = now_ms + LOGIN_RETRY_DELAY_MS
            return Err('This is not the operators’ key')
        self._expire()
        if len(self._drafts) >= MAX_SESSIONS:
            return Err('Too many sessions are open')
        session_id = secrets.token_urlsafe(32)
        expires_ms = now_ms + SESSION_LIFETIME_MS
        self._drafts[session_id] = Draft(author, expires_ms)
        return Ok(session_id)

    def find(self, session_id: str) -> Draft | None:
        """Return the draft of a session; None if it has expired."""
        self._expire()
        return self._drafts.get(session_id)

    def log_out(self, session_id: str) -> None:
        """End a session and discard its draft."""
        self._drafts.pop(session_id, None)

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        expired = [
            k for k, d in self._drafts.items() if d.expires_ms <= now_ms
        ]
        for session_id in expired:
            del self._drafts[session_id]


def read_key_hashes(path: str) -> Result[tuple[str, ...], str]:
    """Return the operators' key hashes in a file, one per line."""
    if not path:
        return Err('console.operator_key_hash_file: no file is set')
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f'operator_key_hash_file {path}: {type(exc).__name__}')
    hashes = tuple(text.split())
    if not hashes or not all(_KEY_HASH.fullmatch(item) for item in hashes):
        return Err(
            f'operator_key_hash_file {path}: write the SHA-256 of the key, '
            '64 lower-case hex digits'
        )
    return Ok(hashes)
