"""Answers in progress and the connections that they are sent to."""

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
    """How a whole answer ended; counts are in tokens."""

    finish_reason: str
    prompt_tokens: int
    answer_tokens: int
    cached_tokens: int


@dataclass(slots=True)
class RunFailure:
    """Why a run has no whole answer; `not_run` is true only if proved."""

    reason: str
    message: str
    not_run: bool
    retry_after_ms: int = 0
    crash_record: bytes = b''


class Run:
    """One answer: its bytes so far and the connection it is sent to.

    The connection may be replaced; offsets count bytes of UTF-8 text.
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
        '_sent',
        '_sent_tokens',
        '_scheduled',
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
        self.cancel: Callable[[], None] = _nothing
        self._clock = clock
        self._serial = config_serial
        self._text = bytearray()
        self._tokens = 0
        self._digest_from = 0
        self._conn: Conn | None = None
        self._stream = 0
        self._sent = 0
        self._sent_tokens = 0
        self._scheduled = False
        self._end_sent = False

    @property
    def ended(self) -> bool:
        """True once the answer is whole or has failed."""
        return self.ended_at_ms is not None

    @property
    def length(self) -> int:
        """Bytes of answer received from the target."""
        return len(self._text)

    def attach(
        self, conn: Conn, stream: int, offset: int = 0, digest_from: int = 0
    ) -> bool:
        """Send the answer from `offset` on to `conn`.

        The digest at its end covers the text from `digest_from` on. Returns
        False when the offsets are not within the answer so far.
        """
        if not 0 <= digest_from <= offset <= len(self._text):
            return False
        self._digest_from = digest_from
        self._conn = conn
        self._stream = stream
        self._sent = offset
        self._sent_tokens = self._tokens
        self._end_sent = False
        self.detached_at_ms = None
        conn.add_close_callback(lambda: self._on_closed(conn))
        self._schedule()
        return True

    def detach(self) -> None:
        """Stop sending; the run ends later unless it is resumed."""
        self._conn = None
        self.detached_at_ms = self._clock.now_ms()

    def append(self, text: bytes, tokens: int) -> None:
        """Add a part of the answer."""
        self._text += text
        self._tokens += tokens
        self._schedule()

    def finish(self, summary: RunSummary) -> None:
        """Note that the answer is whole."""
        self.summary = summary
        self.ended_at_ms = self._clock.now_ms()
        self._schedule()

    def fail(self, failure: RunFailure) -> None:
        """Note that there will be no whole answer."""
        if self.ended:
            return
        self.failure = failure
        self.ended_at_ms = self._clock.now_ms()
        self._schedule()

    def pump(self) -> None:
        """Send what the connection has not been sent yet."""
        self._scheduled = False
        conn = self._conn
        if conn is None or conn.closed or conn.congested:
            return
        if self._sent < len(self._text):
            self._send_chunk(conn)
        if self.ended and not self._end_sent:
            self._end_sent = True
            conn.send(self._end_envelope())

    def _schedule(self) -> None:
        if self._scheduled or self._conn is None:
            return
        self._scheduled = True
        asyncio.get_running_loop().call_soon(self.pump)

    def _send_chunk(self, conn: Conn) -> None:
        text = bytes(self._text[self._sent :])
        tokens = self._tokens - self._sent_tokens
        chunk = Chunk(self.run_id, self._sent, text, tokens)
        self._sent = len(self._text)
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
    """All runs of an agent, bounded in time by `sweep`."""

    def __init__(
        self, clock: Clock, detached_run_ms: int, answer_kept_ms: int
    ) -> None:
        self._clock = clock
        self._detached_run_ms = detached_run_ms
        self._answer_kept_ms = answer_kept_ms
        self._runs: dict[str, Run] = {}

    def add(self, run: Run) -> None:
        """Add a run that starts."""
        self._runs[run.run_id] = run

    def get(self, run_id: str) -> Run | None:
        """Return the run, if it is still kept."""
        return self._runs.get(run_id)

    def remove(self, run_id: str) -> None:
        """Forget a run."""
        self._runs.pop(run_id, None)

    def acknowledge(self, run_id: str) -> None:
        """Forget a run whose whole answer its caller has."""
        run = self._runs.get(run_id)
        if run is not None and run.ended:
            del self._runs[run_id]

    def open_runs(self) -> list[Run]:
        """Return the runs whose answers are not whole yet."""
        return [run for run in self._runs.values() if not run.ended]

    def undelivered(self) -> bool:
        """Tell whether a caller still reads an answer."""
        return any(run.detached_at_ms is None for run in self._runs.values())

    def pump_all(self) -> None:
        """Send what waited for a congested connection."""
        for run in list(self._runs.values()):
            run.pump()

    def sweep(self) -> list[Run]:
        """Forget answers kept too long; return runs to be cancelled."""
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


def _nothing() -> None:
    """Stand for the cancellation of a run that has not started."""
