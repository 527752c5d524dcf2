"""The answers of stand-in engines, a fixed function of the prompt."""

import hashlib
import random

import msgspec

from wigeonmill.standins.engine_messages import ChatMessage

WORDS = (
    'amber brick cedar delta ember flint grove haven inlet jetty knoll '
    'ledge maple north ocean prism quill ridge slate tower umber vault '
    'wharf yield zonal basil cumin dough flour grain honey lemon'
).split()


def answer_tokens(prompt: str, max_tokens: int) -> list[str]:
    """Return the answer's tokens: `max_tokens` words, each with a space."""
    digest = hashlib.sha256(prompt.encode('utf-8')).digest()
    rng = random.Random(digest)
    return [f'{word} ' for word in rng.choices(WORDS, k=max_tokens)]


def expected_answer(prompt: str, max_tokens: int) -> str:
    """Return the whole answer to `prompt`.

    For a chat request, `prompt` is the `chat_prompt` of its messages.
    """
    return ''.join(answer_tokens(prompt, max_tokens))


def chat_prompt(messages: list[ChatMessage]) -> str:
    """Join messages as one `role: content` line each."""
    lines = [f'{message.role}: {_text(message)}' for message in messages]
    return '\n'.join(lines)


def chat_prompt_from_body(body: bytes) -> str:
    """Return the `chat_prompt` of a chat request's JSON body."""
    return chat_prompt(msgspec.json.decode(body, type=_Chat).messages)


class _Chat(msgspec.Struct):
    messages: list[ChatMessage]


def _text(message: ChatMessage) -> str:
    if isinstance(message.content, str):
        return message.content
    return ''.join(part.text for part in message.content)
