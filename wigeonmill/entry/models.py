"""Request handlers for completions, chat and the list of models."""

from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from wigeonmill.cache.keys import count_tokens
from wigeonmill.entry.base import RUN_ID_HEADER
from wigeonmill.entry.base import TeamHandler
from wigeonmill.entry.context import EntryContext
from wigeonmill.entry.context import ServiceRoutes
from wigeonmill.entry.errors import ApiError
from wigeonmill.entry.errors import Reason
from wigeonmill.entry.model_run import Finished
from wigeonmill.entry.model_run import ModelRun
from wigeonmill.entry.model_run import Part
from wigeonmill.entry.model_run import RunEvent
from wigeonmill.entry.requests import Api
from wigeonmill.entry.requests import CallerHeaders
from wigeonmill.entry.requests import ModelRequest
from wigeonmill.entry.requests import parse_model_request
from wigeonmill.entry.shapes import AnswerEncoder
from wigeonmill.entry.shapes import encode_error_event
from wigeonmill.entry.shapes import encode_model_list

LAST_EVENT_HEADER = 'Last-Event-ID'
# One in this many gaps between parts of an answer is recorded as token_gap.
GAP_SAMPLE_INTERVAL = 8


@dataclass(frozen=True, slots=True)
class EventId:
    """The last part that a caller received: a run and a byte offset."""

    run_id: str
    offset: int


class ModelHandler(TeamHandler):
    """Serves one model request; the answer is streamed or sent whole."""

    api = Api.COMPLETIONS

    def initialize(self, context: EntryContext) -> None:
        super().initialize(context)
        self._run: ModelRun | None = None
        self._streaming = False
        self._disconnected = False
        self._part_count = 0
        self._started_ms = context.clock.now_ms()

    async def post(self) -> None:
        """Run a prompt, or resume the stream that Last-Event-ID names."""
        if self._finished:
            return
        parsed = self._parse()
        if parsed.is_err():
            self.refuse(parsed.unwrap_err())
            return
        request = parsed.unwrap()
        routes = self.routes.for_model(request.model)
        if routes is None:
            message = f'no service serves the model {request.model!r}'
            self.refuse(ApiError(Reason.UNKNOWN_MODEL, message))
            return
        await self._serve(routes, request)

    def on_connection_close(self) -> None:
        super().on_connection_close()
        self._disconnected = True
        if self._run is None:
            return
        if self._streaming:
            self._run.detach()
        else:
            # Without an event id the caller cannot resume the run.
            self._run.cancel()

    async def _serve(
        self, routes: ServiceRoutes, request: ModelRequest
    ) -> None:
        run = ModelRun(
            self.context, routes, self.team, request, self.request_id
        )
        self._run = run
        error = await self._start_or_resume(run)
        if self._disconnected:
            run.cancel()
            return
        if error is not None:
            self.refuse(error)
            return
        if request.stream:
            await self._send_stream(run, request)
        else:
            await self._send_whole_answer(run, request)

    def _make_encoder(
        self, run: ModelRun, request: ModelRequest
    ) -> AnswerEncoder:
        """Return the encoder of the answer.

        Call this only after the first part: until then the run may still
        move to another target.
        """
        created = self.context.clock.wall_ms() // 1000
        return AnswerEncoder(request.api, run.run_id, request.model, created)

    async def _start_or_resume(self, run: ModelRun) -> ApiError | None:
        text = self.request.headers.get(LAST_EVENT_HEADER, '')
        if not text:
            return await run.start()
        event_id = parse_event_id(text)
        if event_id is None:
            message = f'{LAST_EVENT_HEADER} is not the id of a stream event'
            return ApiError(Reason.MALFORMED, message)
        return await run.resume(event_id.run_id, event_id.offset)

    async def _send_stream(self, run: ModelRun, request: ModelRequest) -> None:
        # Nothing is sent before the first part, so that a refusal can
        # still be sent with an HTTP status of its own.
        event = await run.next()
        if self._disconnected:
            run.cancel()
            return
        if isinstance(event, ApiError):
            self.refuse(event)
            return
        self._record_first_token()
        encoder = self._make_encoder(run, request)
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('Cache-Control', 'no-store')
        self.set_header(RUN_ID_HEADER, run.run_id)
        self._streaming = True
        while isinstance(event, Part):
            if not await self.write_part(encoder.encode_part(event)):
                run.detach()
                return
            event = await self._next_part(run)
        if self._disconnected:
            return
        if isinstance(event, ApiError):
            self.context.metrics.count('refusals', event.reason.value)
            self.write(encode_error_event(event))
        else:
            run.acknowledge()
            self.write(encoder.encode_end(event, request.include_usage))
        self.finish()

    async def _send_whole_answer(
        self, run: ModelRun, request: ModelRequest
    ) -> None:
        texts: list[str] = []
        event = await run.next()
        if isinstance(event, Part):
            self._record_first_token()
        while isinstance(event, Part):
            texts.append(event.text)
            event = await self._next_part(run)
        if self._disconnected:
            return
        if isinstance(event, ApiError):
            self.refuse(event)
            return
        run.acknowledge()
        self.set_header('Content-Type', 'application/json')
        self.set_header(RUN_ID_HEADER, run.run_id)
        encoder = self._make_encoder(run, request)
        self.finish(encoder.encode_whole(''.join(texts), event))

    async def _next_part(self, run: ModelRun) -> RunEvent:
        self._part_count += 1
        before_ms = self.context.clock.now_ms()
        event = await run.next()
        if isinstance(event, Finished):
            self.context.metrics.count('answers')
            self.context.metrics.count('tokens', by=event.answer_tokens)
        elif self._part_count % GAP_SAMPLE_INTERVAL == 0 and isinstance(
            event, Part
        ):
            gap_ms = self.context.clock.now_ms() - before_ms
            self.context.metrics.histogram('token_gap').record(gap_ms)
        return event

    def _record_first_token(self) -> None:
        elapsed_ms = self.context.clock.now_ms() - self._started_ms
        self.context.metrics.histogram('first_token').record(elapsed_ms)

    def _parse(self) -> Result[ModelRequest, ApiError]:
        headers = CallerHeaders(
            self.request.headers.get('X-Priority', ''),
            self.request.headers.get('X-Deadline-Ms', ''),
        )
        parsed = parse_model_request(
            self.api, bytes(self.body), headers, self.limits
        )
        if parsed.is_err():
            return parsed
        tokens = count_tokens(parsed.unwrap().prompt)
        if tokens > self.limits.max_prompt_tokens:
            message = (
                f'the prompt has {tokens} tokens, the limit is '
                f'{self.limits.max_prompt_tokens}'
            )
            return Err(ApiError(Reason.PROMPT_TOO_LONG, message))
        return Ok(parsed.unwrap())


class ChatHandler(ModelHandler):
    """Serves one chat completion request."""

    api = Api.CHAT


class ModelListHandler(TeamHandler):
    """Lists the models of the configuration."""

    def get(self) -> None:
        """Return the names of the document's models."""
        if self._finished:
            return
        names = [model.name for model in self.routes.document.models]
        self.set_header('Content-Type', 'application/json')
        self.finish(encode_model_list(names))


def parse_event_id(text: str) -> EventId | None:
    """Return the run and offset of an event id, or None if malformed."""
    run_id, _, offset = text.strip().rpartition(':')
    if not run_id or not offset.isdecimal() or len(offset) > 12:
        return None
    return EventId(run_id, int(offset))
