"""Validates callers' requests and parses them into typed values."""

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
ALLOWED_PRIORITIES = range(0, 10)
DEFAULT_PRIORITY = 5
MAX_REQUEST_ID_CHARS = 128
MAX_NUMBER_DIGITS = 12


class Api(enum.Enum):
    """The two formats of model requests, by their paths."""

    COMPLETIONS = '/v1/completions'
    CHAT = '/v1/chat/completions'


class Message(msgspec.Struct):
    """One message of a chat."""

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
    """A validated model request.

    `prompt` is the text whose blocks are cached, and `body` the JSON that is
    sent to the engine. `max_tokens` limits the answer, and `deadline_ms` is
    the time allowed for the request.
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
    """The values of the X-Priority and X-Deadline-Ms headers."""

    priority: str = ''
    deadline_ms: str = ''


def parse_model_request(
    api: Api, body: bytes, headers: CallerHeaders, limits: Limits
) -> Result[ModelRequest, ApiError]:
    """Return the parsed request, or an error that says what is wrong."""
    try:
        parsed = msgspec.json.decode(
            body, type=_Chat if api is Api.CHAT else _Completion
        )
        raw: dict[str, Any] = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Err(_malformed(f'the body is not a valid request: {exc}'))
    if parsed.n != 1:
        return Err(_malformed('n: only 1 is supported'))
    max_tokens = _parse_max_tokens(parsed, limits)
    if max_tokens.is_err():
        return Err(max_tokens.unwrap_err())
    priority = parse_priority(
        headers.priority, 'X-Priority', ALLOWED_PRIORITIES
    )
    if priority.is_err():
        return Err(priority.unwrap_err())
    deadline = _parse_deadline_ms(headers.deadline_ms, limits)
    if deadline.is_err():
        return Err(deadline.unwrap_err())
    options = parsed.stream_options or StreamOptions()
    raw['max_tokens'] = max_tokens.unwrap()
    raw['stream'] = True
    request = ModelRequest(
        api,
        parsed.model,
        _prompt_bytes(parsed),
        msgspec.json.encode(raw),
        max_tokens.unwrap(),
        parsed.stream,
        options.include_usage,
        priority.unwrap(),
        deadline.unwrap(),
    )
    return Ok(request)


def join_messages(messages: list[Message]) -> str:
    """Return the messages of a chat as one text, one line for each."""
    return '\n'.join(f'{m.role}: {m.content}' for m in messages)


def parse_deadline(text: str, limits: Limits) -> Result[int, ApiError]:
    """Return the time allowed in ms from the X-Deadline-Ms header."""
    return _parse_deadline_ms(text, limits)


def clean_request_id(text: str) -> str:
    """Return a caller's request id if it is safe to echo, else ''."""
    if len(text) > MAX_REQUEST_ID_CHARS:
        return ''
    allowed = all(c.isascii() and (c.isalnum() or c in '-_.') for c in text)
    return text if allowed else ''


def _prompt_bytes(parsed: _Completion | _Chat) -> bytes:
    if isinstance(parsed, _Chat):
        return join_messages(parsed.messages).encode('utf-8', 'surrogatepass')
    return parsed.prompt.encode('utf-8', 'surrogatepass')


def _parse_max_tokens(
    parsed: _Common, limits: Limits
) -> Result[int, ApiError]:
    requested = parsed.max_completion_tokens or parsed.max_tokens
    if requested is None:
        requested = min(DEFAULT_ANSWER_TOKENS, limits.max_answer_tokens)
    if not 1 <= requested <= limits.max_answer_tokens:
        message = f'max_tokens: must be from 1 to {limits.max_answer_tokens}'
        return Err(_malformed(message))
    return Ok(requested)


def parse_priority(
    text: str, name: str, allowed: range
) -> Result[int, ApiError]:
    """Return the priority in a header, or the default if there is none."""
    if not text:
        return Ok(DEFAULT_PRIORITY)
    if not text.isdecimal() or _parse_number(text) not in allowed:
        message = f'{name}: must be from {allowed.start} to {allowed.stop - 1}'
        return Err(_malformed(message))
    return Ok(int(text))


def _parse_deadline_ms(text: str, limits: Limits) -> Result[int, ApiError]:
    if not text:
        return Ok(limits.default_deadline_ms)
    if not text.isdecimal() or _parse_number(text) < 1:
        return Err(_malformed('X-Deadline-Ms: must be 1 or more milliseconds'))
    return Ok(min(_parse_number(text), limits.max_deadline_ms))


def _parse_number(digits: str) -> int:
    """Return the value of decimal digits, at most 10**MAX_NUMBER_DIGITS."""
    significant = digits.lstrip('0') or '0'
    if len(significant) > MAX_NUMBER_DIGITS:
        return 10**MAX_NUMBER_DIGITS
    return int(significant)


def _malformed(message: str) -> ApiError:
    return ApiError(Reason.MALFORMED, message)
