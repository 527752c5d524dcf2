"""Operators' sessions and the changes that they have not submitted."""

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
# After a wrong key the next attempt has to wait this long.
LOGIN_PAUSE_MS = 1000.0

_KEY_HASH = re.compile(r'[0-9a-f]{64}')


@dataclass(slots=True)
class Draft:
    """One operator's unsubmitted changes on top of a record."""

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
        """The changes since the base."""
        return diff_documents(self.base, self.document)

    def change(self, document: Document) -> None:
        """Take an edited document; it will be a submission of its own."""
        if document != self.document:
            self.document = document
            self.submission_id = ''

    def start_from(self, record: ConfigRecord | None) -> None:
        """Drop the changes and start from a record."""
        self.base = record.document if record else EMPTY_DOCUMENT
        self.base_serial = record.serial if record else 0
        self.document = self.base
        self.submission_id = ''
        self.conflict = None
        self.merge_conflicts = []

    def rebase(self) -> None:
        """Put the changes on top of the record that came first."""
        if self.conflict is None:
            return
        winner = self.conflict.winner
        merged = merge_documents(self.base, self.document, winner.document)
        self.start_from(winner)
        self.document = merged.document
        self.merge_conflicts = merged.merge_conflicts


class SessionStore:
    """Operators' sessions in the memory of the console."""

    __slots__ = ('_clock', '_drafts', '_hashes', '_login_after_ms')

    def __init__(self, clock: Clock, key_hashes: tuple[str, ...]) -> None:
        self._clock = clock
        self._hashes = key_hashes
        self._drafts: dict[str, Draft] = {}
        self._login_after_ms = 0.0

    def log_in(self, author: str, key: str) -> Result[str, str]:
        """Return a new session id, or why there is none."""
        now_ms = self._clock.now_ms()
        if now_ms < self._login_after_ms:
            return Err('Wait a second and try again')
        typed = hash_key(key)
        if not any([hmac.compare_digest(typed, h) for h in self._hashes]):
            self._login_after_ms = now_ms + LOGIN_PAUSE_MS
            return Err('This is not the operators’ key')
        self._expire()
        if len(self._drafts) >= MAX_SESSIONS:
            return Err('Too many sessions are open')
        session_id = secrets.token_urlsafe(32)
        expires_ms = now_ms + SESSION_LIFETIME_MS
        self._drafts[session_id] = Draft(author, expires_ms)
        return Ok(session_id)

    def find(self, session_id: str) -> Draft | None:
        """Return a session's draft, None if it has ended."""
        self._expire()
        return self._drafts.get(session_id)

    def log_out(self, session_id: str) -> None:
        """End a session and drop its draft."""
        self._drafts.pop(session_id, None)

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        ended = [k for k, d in self._drafts.items() if d.expires_ms <= now_ms]
        for session_id in ended:
            del self._drafts[session_id]


def read_key_hashes(path: str) -> Result[tuple[str, ...], str]:
    """Return the operators' key hashes in a file, one a line."""
    if not path:
        return Err('console.operator_key_hash_file: name the file')
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
