"""Handlers of model requests: completions, chat and the list of models."""

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
from wigeonmill.entry.model_run import Step
from wigeonmill.entry.requests import Api
from wigeonmill.entry.requests import CallerHeaders
from wigeonmill.entry.requests import ModelRequest
from wigeonmill.entry.requests import parse_model_request
from wigeonmill.entry.shapes import AnswerShape
from wigeonmill.entry.shapes import error_event
from wigeonmill.entry.shapes import model_list

LAST_EVENT_HEADER = 'Last-Event-ID'
# One in this many gaps between parts of an answer goes to the histogram.
GAP_SAMPLE = 8


@dataclass(frozen=True, slots=True)
class EventId:
    """Where a caller's stream broke off: a run and a byte offset."""

    run_id: str
    offset: int


class ModelHandler(TeamHandler):
    """Serves one model request, streamed or whole."""

    api = Api.COMPLETIONS

    def initialize(self, context: EntryContext) -> None:
        super().initialize(context)
        self._run: ModelRun | None = None
        self._streaming = False
        self._caller_gone = False
        self._parts = 0
        self._started_ms = context.clock.now_ms()

    async def post(self) -> None:
        """Run a prompt, or resume the stream of Last-Event-ID."""
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
        self._caller_gone = True
        if self._run is None:
            return
        if self._streaming:
            self._run.caller_left()
        else:
            # Without an event id the caller can't come back for it.
            self._run.cancel()

    async def _serve(
        self, routes: ServiceRoutes, request: ModelRequest
    ) -> None:
        run = ModelRun(
            self.context, routes, self.team, request, self.request_id
        )
        self._run = run
        error = await self._begin(run)
        if self._caller_gone:
            run.cancel()
            return
        if error is not None:
            self.refuse(error)
            return
        if request.stream:
            await self._stream(run, request)
        else:
            await self._collect(run, request)

    def _make_shape(self, run: ModelRun, request: ModelRequest) -> AnswerShape:
        """Return the answer's shape, once its first part fixed the run."""
        created = self.context.clock.wall_ms() // 1000
        return AnswerShape(request.api, run.run_id, request.model, created)

    async def _begin(self, run: ModelRun) -> ApiError | None:
        text = self.request.headers.get(LAST_EVENT_HEADER, '')
        if not text:
            return await run.start()
        event_id = parse_event_id(text)
        if event_id is None:
            message = f'{LAST_EVENT_HEADER} is not an id of a stream'
            return ApiError(Reason.MALFORMED, message)
        return await run.resume(event_id.run_id, event_id.offset)

    async def _stream(self, run: ModelRun, request: ModelRequest) -> None:
        # Nothing is sent before the first part, so that a refusal can
        # still have its own status.
        step = await run.next()
        if self._caller_gone:
            run.cancel()
            return
        if isinstance(step, ApiError):
            self.refuse(step)
            return
        self._note_first_token()
        shape = self._make_shape(run, request)
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('Cache-Control', 'no-store')
        self.set_header(RUN_ID_HEADER, run.run_id)
        self._streaming = True
        while isinstance(step, Part):
            if not await self.write_part(shape.part(step)):
                run.caller_left()
                return
            step = await self._next_part(run)
        if self._caller_gone:
            return
        if isinstance(step, ApiError):
            self.context.metrics.count('refusals', step.reason.value)
            self.write(error_event(step))
        else:
            run.acknowledge()
            self.write(shape.end(step, request.include_usage))
        self.finish()

    async def _collect(self, run: ModelRun, request: ModelRequest) -> None:
        texts: list[str] = []
        step = await run.next()
        if isinstance(step, Part):
            self._note_first_token()
        while isinstance(step, Part):
            texts.append(step.text)
            step = await self._next_part(run)
        if self._caller_gone:
            return
        if isinstance(step, ApiError):
            self.refuse(step)
            return
        run.acknowledge()
        self.set_header('Content-Type', 'application/json')
        self.set_header(RUN_ID_HEADER, run.run_id)
        shape = self._make_shape(run, request)
        self.finish(shape.whole(''.join(texts), step))

    async def _next_part(self, run: ModelRun) -> Step:
        self._parts += 1
        before_ms = self.context.clock.now_ms()
        step = await run.next()
        if isinstance(step, Finished):
            self.context.metrics.count('answers')
            self.context.metrics.count('tokens', by=step.answer_tokens)
        elif self._parts % GAP_SAMPLE == 0 and isinstance(step, Part):
            gap_ms = self.context.clock.now_ms() - before_ms
            self.context.metrics.histogram('token_gap').record(gap_ms)
        return step

    def _note_first_token(self) -> None:
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
    """Serves one conversation."""

    api = Api.CHAT


class ModelListHandler(TeamHandler):
    """Lists the models that are served."""

    def get(self) -> None:
        """Answer with the names of the document's models."""
        if self._finished:
            return
        names = [model.name for model in self.routes.document.models]
        self.set_header('Content-Type', 'application/json')
        self.finish(model_list(names))


def parse_event_id(text: str) -> EventId | None:
    """Return the run and offset of a stream's event id, if it is one."""
    run_id, _, offset = text.strip().rpartition(':')
    if not run_id or not offset.isdecimal() or len(offset) > 12:
        return None
    return EventId(run_id, int(offset))
