"""Runs in progress and the connections that their answers are sent to."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import hashlib

from wigeonmill.clock import Clock
from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.gen.inner.ttypes import Chunk
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import Refused
from wigeonmill.protocol.gen.inner.ttypes import RunEnd


@dataclass(slots=True)
class RunSummary:
    """The end of a complete answer; counts are in tokens."""

    finish_reason: str
    prompt_tokens: int
    answer_tokens: int
    cached_tokens: int


@dataclass(slots=True)
class RunFailure:
    """Why a run failed; `not_run` is set only if it certainly was not run."""

    reason: str
    message: str
    not_run: bool
    retry_after_ms: int = 0
    crash_record: bytes = b''


class Run:
    """The answer of one run, its text so far and its connection.

    The connection may be replaced. Offsets count bytes of UTF-8 text.
    """

    __slots__ = (
        'run_id',
        'team',
        'summary',
        'failure',
        'detached_at_ms',
        'ended_at_ms',
        'acknowledged',
        'cancel',
        '_clock',
        '_serial',
        '_text',
        '_tokens',
        '_digest_from',
        '_conn',
        '_stream',
        '_sent_bytes',
        '_sent_tokens',
        '_send_scheduled',
        '_end_sent',
    )

    def __init__(
        self,
        run_id: str,
        team: str,
        clock: Clock,
        config_serial: Callable[[], int],
    ) -> None:
        self.run_id = run_id
        self.team = team
        self.summary: RunSummary | None = None
        self.failure: RunFailure | None = None
        self.detached_at_ms: float | None = clock.now_ms()
        self.ended_at_ms: float | None = None
        self.acknowledged = False
        self.cancel: Callable[[], None] = _noop
        self._clock = clock
        self._serial = config_serial
        self._text = bytearray()
        self._tokens = 0
        self._digest_from = 0
        self._conn: Conn | None = None
        self._stream = 0
        self._sent_bytes = 0
        self._sent_tokens = 0
        self._send_scheduled = False
        self._end_sent = False

    @property
    def ended(self) -> bool:
        """Whether the answer is complete or has failed."""
        return self.ended_at_ms is not None

    @property
    def text_length(self) -> int:
        """Bytes of the answer received from the target."""
        return len(self._text)

    def attach(
        self, conn: Conn, stream: int, offset: int = 0, digest_from: int = 0
    ) -> bool:
        """Send the answer to `conn`, starting at `offset`.

        The digest in the end message covers the text from `digest_from` on.
        Returns False if the offsets are not within the text received so far.
        """
        if not 0 <= digest_from <= offset <= len(self._text):
            return False
        self._digest_from = digest_from
        self._conn = conn
        self._stream = stream
        self._sent_bytes = offset
        self._sent_tokens = self._tokens
        self._end_sent = False
        self.detached_at_ms = None
        conn.add_close_callback(lambda: self._on_closed(conn))
        self._schedule_send()
        return True

    def detach(self) -> None:
        """Stop sending; the run is cancelled later unless it is resumed."""
        self._conn = None
        self.detached_at_ms = self._clock.now_ms()

    def append(self, text: bytes, tokens: int) -> None:
        """Add a part of the answer."""
        self._text += text
        self._tokens += tokens
        self._schedule_send()

    def finish(self, summary: RunSummary) -> None:
        """Record the end of the complete answer."""
        self.summary = summary
        self.ended_at_ms = self._clock.now_ms()
        self._schedule_send()

    def fail(self, failure: RunFailure) -> None:
        """Record a failure, unless the run has already ended."""
        if self.ended:
            return
        self.failure = failure
        self.ended_at_ms = self._clock.now_ms()
        self._schedule_send()

    def send_pending(self) -> None:
        """Send the unsent text, and the end message once the run has ended."""
        self._send_scheduled = False
        conn = self._conn
        if conn is None or conn.closed or conn.congested:
            return
        if self._sent_bytes < len(self._text):
            self._send_chunk(conn)
        if self.ended and not self._end_sent:
            self._end_sent = True
            conn.send(self._end_envelope())

    def _schedule_send(self) -> None:
        if self._send_scheduled or self._conn is None:
            return
        self._send_scheduled = True
        asyncio.get_running_loop().call_soon(self.send_pending)

    def _send_chunk(self, conn: Conn) -> None:
        text = bytes(self._text[self._sent_bytes :])
        tokens = self._tokens - self._sent_tokens
        chunk = Chunk(self.run_id, self._sent_bytes, text, tokens)
        self._sent_bytes = len(self._text)
        self._sent_tokens = self._tokens
        envelope = Envelope(Kind.CHUNK, self._stream, self._serial())
        envelope.chunk = chunk
        conn.send(envelope)

    def _end_envelope(self) -> Envelope:
        if self.failure is not None:
            refused = Refused(
                self.failure.reason,
                self.failure.message,
                self.failure.retry_after_ms,
                self.failure.not_run,
                self.failure.crash_record,
            )
            return Envelope(
                Kind.REFUSED, self._stream, self._serial(), refused=refused
            )
        summary = self.summary
        assert summary is not None
        end = RunEnd(
            self.run_id,
            len(self._text),
            hashlib.sha256(self._text[self._digest_from :]).digest(),
            summary.finish_reason,
            summary.prompt_tokens,
            summary.answer_tokens,
            summary.cached_tokens,
        )
        return Envelope(
            Kind.RUN_END, self._stream, self._serial(), run_end=end
        )

    def _on_closed(self, conn: Conn) -> None:
        if self._conn is conn:
            self.detach()


class RunTable:
    """All runs of an agent; `sweep` removes old ones."""

    def __init__(
        self, clock: Clock, detached_run_ms: int, answer_kept_ms: int
    ) -> None:
        self._clock = clock
        self._detached_run_ms = detached_run_ms
        self._answer_kept_ms = answer_kept_ms
        self._runs: dict[str, Run] = {}

    def add(self, run: Run) -> None:
        """Add a new run."""
        self._runs[run.run_id] = run

    def get(self, run_id: str) -> Run | None:
        """Return the run; None if it is unknown or was removed."""
        return self._runs.get(run_id)

    def remove(self, run_id: str) -> None:
        """Remove a run."""
        self._runs.pop(run_id, None)

    def acknowledge(self, run_id: str) -> None:
        """Remove a run whose caller has received the complete answer."""
        run = self._runs.get(run_id)
        if run is not None and run.ended:
            del self._runs[run_id]

    def open_runs(self) -> list[Run]:
        """Return the runs that have not ended yet."""
        return [run for run in self._runs.values() if not run.ended]

    def has_attached_runs(self) -> bool:
        """Return whether any answer has a connected caller."""
        return any(run.detached_at_ms is None for run in self._runs.values())

    def send_all_pending(self) -> None:
        """Send the text that was held back by congested connections."""
        for run in list(self._runs.values()):
            run.send_pending()

    def sweep(self) -> list[Run]:
        """Remove answers past their retention; return runs to be cancelled.

        These are the runs that were detached for too long.
        """
        now_ms = self._clock.now_ms()
        abandoned = []
        for run in list(self._runs.values()):
            if run.ended_at_ms is not None:
                if now_ms - run.ended_at_ms >= self._answer_kept_ms:
                    del self._runs[run.run_id]
            elif run.detached_at_ms is not None:
                if now_ms - run.detached_at_ms >= self._detached_run_ms:
                    abandoned.append(run)
        return abandoned


def _noop() -> None:
    """Do nothing; the initial `cancel` of a run."""
