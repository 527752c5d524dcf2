"""Handles the inner messages that an agent receives."""

import logging

from wigeonmill.agent.context import AgentContext
from wigeonmill.agent.model_service import ModelService
from wigeonmill.agent.plain_service import PlainService
from wigeonmill.agent.run_adoption import RunAdopter
from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import Refused
from wigeonmill.protocol.gen.inner.ttypes import Resume
from wigeonmill.protocol.gen.inner.ttypes import RunAccepted

logger = logging.getLogger(__name__)


class AgentService:
    """Dispatches each message to the component that handles it."""

    def __init__(
        self,
        context: AgentContext,
        models: ModelService | None,
        plain: PlainService | None,
        adopter: RunAdopter | None,
    ) -> None:
        self._context = context
        self._models = models
        self._plain = plain
        self._adopter = adopter

    def handle(self, conn: Conn, envelope: Envelope) -> bool:
        """Handle one message; return False if it is not for an agent."""
        kind = envelope.kind
        if kind == Kind.OFFER_REQUEST:
            self._offer(conn, envelope)
        elif kind == Kind.RELEASE:
            if self._models is not None and envelope.release is not None:
                self._models.release(envelope.release.reservation)
        elif kind == Kind.RUN:
            self._run(conn, envelope)
        elif kind == Kind.RESUME:
            self._resume(conn, envelope)
        elif kind == Kind.ACK:
            if envelope.ack is not None:
                self._context.runs.acknowledge(envelope.ack.run_id)
        elif kind in (Kind.CANCEL, Kind.DETACH):
            self._cancel_or_detach(envelope)
        elif kind == Kind.CALL:
            self._run_call(conn, envelope)
        else:
            return False
        return True

    def tick(self) -> None:
        """Expire or start waiting requests and cancel abandoned runs.

        This is called at a short interval.
        """
        if self._models is not None:
            self._models.start_runnable()
        if self._plain is not None:
            self._plain.start_runnable()
        for run in self._context.runs.sweep():
            self._context.metrics.count('runs_abandoned')
            run.cancel()

    @property
    def busy(self) -> bool:
        """Whether any request is waiting or in progress."""
        models = self._models is not None and self._models.busy
        plain = self._plain is not None and self._plain.busy
        adopted = self._adopter is not None and self._adopter.busy
        return models or plain or adopted

    def _offer(self, conn: Conn, envelope: Envelope) -> None:
        if self._models is None or envelope.offer_request is None:
            self._refuse(conn, envelope, 'wrong_service')
            return
        offer = self._models.offer(envelope.offer_request)
        reply = Envelope(Kind.OFFER, envelope.stream, self._context.serial())
        reply.offer = offer
        conn.send(reply)

    def _run(self, conn: Conn, envelope: Envelope) -> None:
        if self._models is None or envelope.run is None:
            self._refuse(conn, envelope, 'wrong_service')
            return
        conn.on_drain = self._context.runs.send_all_pending
        self._models.accept(conn, envelope.stream, envelope.run)

    def _run_call(self, conn: Conn, envelope: Envelope) -> None:
        if self._plain is None or envelope.call is None:
            self._refuse(conn, envelope, 'wrong_service')
            return
        self._plain.accept(conn, envelope.stream, envelope.call)

    def _resume(self, conn: Conn, envelope: Envelope) -> None:
        resume = envelope.resume
        if resume is None:
            self._refuse(conn, envelope, 'run_not_found')
            return
        if self._attach(conn, envelope.stream, resume):
            return
        if not self._adopt(conn, envelope.stream, resume):
            self._refuse(conn, envelope, 'run_not_found')

    def _adopt(self, conn: Conn, stream: int, resume: Resume) -> bool:
        if self._adopter is None or self._context.runs.get(resume.run_id):
            return False
        return self._adopter.adopt(conn, stream, resume)

    def _attach(self, conn: Conn, stream: int, resume: Resume) -> bool:
        context = self._context
        if context.signer.verify(resume.run_id, resume.team) is None:
            return False
        run = context.runs.get(resume.run_id)
        if run is None or run.team != resume.team:
            return False
        accepted = Envelope(Kind.RUN_ACCEPTED, stream, context.serial())
        accepted.run_accepted = RunAccepted(resume.run_id, '', 0)
        conn.on_drain = context.runs.send_all_pending
        attached = run.attach(
            conn, stream, resume.offset, resume.digest_from or 0
        )
        if attached:
            # The run sends its text in the next iteration of the event loop,
            # after this message.
            conn.send(accepted)
            context.metrics.count('runs_resumed')
        return attached

    def _cancel_or_detach(self, envelope: Envelope) -> None:
        if envelope.cancel is None:
            return
        run = self._context.runs.get(envelope.cancel.run_id)
        if run is None:
            return
        if envelope.kind == Kind.DETACH:
            run.detach()
            return
        run.cancel()
        self._context.runs.remove(run.run_id)

    def _refuse(self, conn: Conn, envelope: Envelope, reason: str) -> None:
        self._context.metrics.count('agent_refusals', reason)
        reply = Envelope(Kind.REFUSED, envelope.stream, self._context.serial())
        reply.refused = Refused(reason, '', 0, True)
        conn.send(reply)
