"""Checks callers' requests and turns them into typed values."""

from dataclasses import dataclass
import enum
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.config.model import Limits
from wigeonmill.entry.errors import ApiError
from wigeonmill.entry.errors import Reason

DEFAULT_ANSWER_TOKENS = 256
PRIORITIES = range(0, 10)
DEFAULT_PRIORITY = 5
MAX_REQUEST_ID_CHARS = 128


class Api(enum.Enum):
    """The two shapes of model requests."""

    COMPLETIONS = '/v1/completions'
    CHAT = '/v1/chat/completions'


class Message(msgspec.Struct):
    """One message of a conversation."""

    role: str
    content: str


class StreamOptions(msgspec.Struct):
    """Options of a streamed answer."""

    include_usage: bool = False


class _Common(msgspec.Struct):
    model: str
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    n: int = 1
    stream_options: StreamOptions | None = None


class _Completion(_Common, kw_only=True):
    prompt: str


class _Chat(_Common, kw_only=True):
    messages: list[Message]


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """A checked model request.

    `prompt` is the text whose blocks are cached; `body` is the JSON that
    the engine gets. Token counts are limits, `deadline_ms` the time allowed.
    """

    api: Api
    model: str
    prompt: bytes
    body: bytes
    max_tokens: int
    stream: bool
    include_usage: bool
    priority: int
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class CallerHeaders:
    """The headers that change how a request is treated."""

    priority: str = ''
    deadline_ms: str = ''


def parse_model_request(
    api: Api, body: bytes, headers: CallerHeaders, limits: Limits
) -> Result[ModelRequest, ApiError]:
    """Return a typed request, or the refusal that says what is wrong."""
    try:
        parsed = msgspec.json.decode(
            body, type=_Chat if api is Api.CHAT else _Completion
        )
        raw: dict[str, Any] = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Err(_malformed(f'the body is not a valid request: {exc}'))
    if parsed.n != 1:
        return Err(_malformed('n: only 1 is served'))
    max_tokens = _max_tokens(parsed, limits)
    if max_tokens.is_err():
        return Err(max_tokens.unwrap_err())
    priority = _bounded(headers.priority, 'X-Priority', PRIORITIES)
    if priority.is_err():
        return Err(priority.unwrap_err())
    deadline = _deadline(headers.deadline_ms, limits)
    if deadline.is_err():
        return Err(deadline.unwrap_err())
    options = parsed.stream_options or StreamOptions()
    raw['max_tokens'] = max_tokens.unwrap()
    raw['stream'] = True
    request = ModelRequest(
        api,
        parsed.model,
        _prompt_of(parsed),
        msgspec.json.encode(raw),
        max_tokens.unwrap(),
        parsed.stream,
        options.include_usage,
        priority.unwrap(),
        deadline.unwrap(),
    )
    return Ok(request)


def join_messages(messages: list[Message]) -> str:
    """Return a conversation as one text, a line for each message."""
    return '\n'.join(f'{m.role}: {m.content}' for m in messages)


def parse_deadline(text: str, limits: Limits) -> Result[int, ApiError]:
    """Return the time allowed in ms from the X-Deadline-Ms header."""
    return _deadline(text, limits)


def clean_request_id(text: str) -> str:
    """Return a caller's request id if it is safe to repeat, else ''."""
    if len(text) > MAX_REQUEST_ID_CHARS:
        return ''
    allowed = all(c.isascii() and (c.isalnum() or c in '-_.') for c in text)
    return text if allowed else ''


def _prompt_of(parsed: _Completion | _Chat) -> bytes:
    if isinstance(parsed, _Chat):
        return join_messages(parsed.messages).encode('utf-8', 'surrogatepass')
    return parsed.prompt.encode('utf-8', 'surrogatepass')


def _max_tokens(parsed: _Common, limits: Limits) -> Result[int, ApiError]:
    wanted = parsed.max_completion_tokens or parsed.max_tokens
    if wanted is None:
        wanted = min(DEFAULT_ANSWER_TOKENS, limits.max_answer_tokens)
    if not 1 <= wanted <= limits.max_answer_tokens:
        message = f'max_tokens: write 1 to {limits.max_answer_tokens}'
        return Err(_malformed(message))
    return Ok(wanted)


def _bounded(text: str, name: str, allowed: range) -> Result[int, ApiError]:
    if not text:
        return Ok(DEFAULT_PRIORITY)
    if not text.isdecimal() or int(text[:9]) not in allowed:
        message = f'{name}: write {allowed.start} to {allowed.stop - 1}'
        return Err(_malformed(message))
    return Ok(int(text))


def _deadline(text: str, limits: Limits) -> Result[int, ApiError]:
    if not text:
        return Ok(limits.default_deadline_ms)
    if not text.isdecimal() or not 1 <= int(text[:12]):
        return Err(_malformed('X-Deadline-Ms: write milliseconds, 1 or more'))
    return Ok(min(int(text[:12]), limits.max_deadline_ms))


def _malformed(message: str) -> ApiError:
    return ApiError(Reason.MALFORMED, message)
