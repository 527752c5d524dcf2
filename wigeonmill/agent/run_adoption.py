"""Resumes runs that an earlier incarnation of this agent started.

The engine keeps a run without a reader for some time. A restarted agent reads
it again from its first token, so that callers lose no text.
"""

import asyncio
import logging

from wigeonmill.agent.context import AgentContext
from wigeonmill.agent.engine import EngineClient
from wigeonmill.agent.engine import EngineEndKind
from wigeonmill.agent.engine import EngineStream
from wigeonmill.agent.runs import Run
from wigeonmill.agent.runs import RunFailure
from wigeonmill.agent.runs import RunSummary
from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import Refused
from wigeonmill.protocol.gen.inner.ttypes import Resume
from wigeonmill.protocol.gen.inner.ttypes import RunAccepted

logger = logging.getLogger(__name__)

READ_TIMEOUT_MS = 600_000.0


class AdoptedRun:
    """An adopted run and the caller that waits to be attached to it."""

    __slots__ = ('run', 'resume', 'conn', 'stream', 'attached')

    def __init__(
        self, run: Run, resume: Resume, conn: Conn, stream: int
    ) -> None:
        self.run = run
        self.resume = resume
        self.conn = conn
        self.stream = stream
        self.attached = False


class RunAdopter:
    """Reads runs of an earlier incarnation from the engine."""

    def __init__(self, context: AgentContext, engine: EngineClient) -> None:
        self._context = context
        self._engine = engine
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def busy(self) -> bool:
        """Whether any adopted run is being read."""
        return bool(self._tasks)

    def adopt(self, conn: Conn, stream: int, resume: Resume) -> bool:
        """Read a run again if an earlier incarnation may have started it.

        Returns False if the run id is not valid for the team or cannot be
        of an earlier incarnation of this agent.
        """
        context = self._context
        run_id = context.signer.verify(resume.run_id, resume.team)
        if run_id is None or run_id.target != context.settings.target:
            return False
        if run_id.incarnation >= context.incarnation:
            return False
        run = Run(resume.run_id, resume.team, context.clock, context.serial)
        context.runs.add(run)
        adopted = AdoptedRun(run, resume, conn, stream)
        task = asyncio.ensure_future(self._read(adopted))
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        context.metrics.count('runs_adopted')
        return True

    async def _read(self, adopted: AdoptedRun) -> None:
        run = adopted.run

        def on_text(text: bytes, tokens: int) -> None:
            run.append(text, tokens)
            self._attach(adopted)

        stream = EngineStream(on_text)
        run.cancel = stream.cancel
        end = await self._engine.replay(run.run_id, stream, READ_TIMEOUT_MS)
        if end.kind is EngineEndKind.COMPLETED:
            run.finish(
                RunSummary(
                    end.finish_reason,
                    end.prompt_tokens,
                    end.answer_tokens,
                    end.cached_tokens,
                )
            )
            self._attach(adopted)
        else:
            run.fail(RunFailure('interrupted', end.message, False))
        if not adopted.attached:
            self._context.runs.remove(run.run_id)
            self._refuse_resume(adopted)

    def _attach(self, adopted: AdoptedRun) -> None:
        """Attach the caller once the text up to its offset has been read."""
        resume = adopted.resume
        if adopted.attached or adopted.run.text_length < resume.offset:
            return
        serial = self._context.serial()
        accepted = Envelope(Kind.RUN_ACCEPTED, adopted.stream, serial)
        accepted.run_accepted = RunAccepted(resume.run_id, '', 0)
        adopted.conn.send(accepted)
        adopted.attached = adopted.run.attach(
            adopted.conn,
            adopted.stream,
            resume.offset,
            resume.digest_from or 0,
        )

    def _refuse_resume(self, adopted: AdoptedRun) -> None:
        serial = self._context.serial()
        refused = Envelope(Kind.REFUSED, adopted.stream, serial)
        refused.refused = Refused('run_not_found', '', 0, False)
        adopted.conn.send(refused)

    def _on_done(self, task: 'asyncio.Task[None]') -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error('adopted run failed', exc_info=task.exception())
