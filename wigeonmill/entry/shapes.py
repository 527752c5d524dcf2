"""Encodes answers in the JSON format that model clients expect."""

import msgspec

from wigeonmill.entry.errors import ApiError
from wigeonmill.entry.errors import encode_error
from wigeonmill.entry.model_run import Finished
from wigeonmill.entry.model_run import Part
from wigeonmill.entry.requests import Api

DONE_EVENT = b'data: [DONE]\n\n'


class _Delta(msgspec.Struct, omit_defaults=True):
    content: str | None = None
    role: str | None = None


class _StreamChoice(msgspec.Struct, omit_defaults=True):
    index: int
    text: str | None = None
    delta: _Delta | None = None
    finish_reason: str | None = None


class _PromptDetails(msgspec.Struct):
    cached_tokens: int


class _Usage(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: _PromptDetails


class _Event(msgspec.Struct, omit_defaults=True):
    id: str
    object: str
    created: int
    model: str
    choices: list[_StreamChoice]
    usage: _Usage | None = None


class _AnswerMessage(msgspec.Struct):
    role: str
    content: str


class _AnswerChoice(msgspec.Struct, omit_defaults=True):
    index: int
    finish_reason: str
    text: str | None = None
    message: _AnswerMessage | None = None


class _Answer(msgspec.Struct):
    id: str
    object: str
    created: int
    model: str
    choices: list[_AnswerChoice]
    usage: _Usage


class _ModelCard(msgspec.Struct):
    id: str
    object: str = 'model'
    owned_by: str = 'wigeonmill'


class _ModelList(msgspec.Struct):
    data: list[_ModelCard]
    object: str = 'list'


class AnswerEncoder:
    """Encodes one answer; `created` is in seconds since the Unix epoch."""

    __slots__ = ('_api', '_id', '_model', '_created')

    def __init__(self, api: Api, run_id: str, model: str, created: int):
        self._api = api
        self._id = run_id
        self._model = model
        self._created = created

    def encode_part(self, part: Part) -> bytes:
        """Return a part as a server-sent event.

        Its id lets the caller resume the stream after this event.
        """
        choice = _StreamChoice(0)
        if self._api is Api.CHAT:
            choice.delta = _Delta(part.text)
        else:
            choice.text = part.text
        event_id = f'id: {self._id}:{part.offset}\ndata: '.encode()
        return event_id + self._encode_event([choice], None) + b'\n\n'

    def encode_end(self, finished: Finished, include_usage: bool) -> bytes:
        """Return the events that end a stream successfully."""
        choice = _StreamChoice(0, finish_reason=finished.finish_reason)
        if self._api is Api.CHAT:
            choice.delta = _Delta()
        else:
            choice.text = ''
        data = b'data: ' + self._encode_event([choice], None) + b'\n\n'
        if include_usage:
            usage = self._encode_event([], _usage(finished))
            data += b'data: ' + usage + b'\n\n'
        return data + DONE_EVENT

    def encode_whole(self, text: str, finished: Finished) -> bytes:
        """Return the JSON body of an answer that is not streamed."""
        choice = _AnswerChoice(0, finished.finish_reason)
        object_type = 'text_completion'
        if self._api is Api.CHAT:
            choice.message = _AnswerMessage('assistant', text)
            object_type = 'chat.completion'
        else:
            choice.text = text
        answer = _Answer(
            self._id,
            object_type,
            self._created,
            self._model,
            [choice],
            _usage(finished),
        )
        return msgspec.json.encode(answer)

    def _encode_event(
        self, choices: list[_StreamChoice], usage: _Usage | None
    ) -> bytes:
        object_type = 'text_completion'
        if self._api is Api.CHAT:
            object_type = 'chat.completion.chunk'
        event = _Event(
            self._id, object_type, self._created, self._model, choices, usage
        )
        return msgspec.json.encode(event)


def encode_error_event(error: ApiError) -> bytes:
    """Return the event that ends a stream with an incomplete answer."""
    return b'event: error\ndata: ' + encode_error(error) + b'\n\n'


def encode_model_list(names: list[str]) -> bytes:
    """Return the list of models as a JSON body."""
    return msgspec.json.encode(_ModelList([_ModelCard(n) for n in names]))


def _usage(finished: Finished) -> _Usage:
    return _Usage(
        finished.prompt_tokens,
        finished.answer_tokens,
        finished.prompt_tokens + finished.answer_tokens,
        _PromptDetails(finished.cached_tokens),
    )
