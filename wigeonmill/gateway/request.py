"""A caller's request as the gateway works with it."""

from dataclasses import dataclass

HeaderFields = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, in order; requests that share it name its id."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Generation:
    """What a model request says of itself; parts end with its own part."""

    model: str
    prompt_tokens: int
    max_answer_tokens: int
    parts: tuple[PromptPart, ...] = ()
    expected_answer_tokens: int | None = None

    @property
    def tokens(self) -> int:
        """Memory that the run takes at its end, in tokens."""
        return self.prompt_tokens + self.max_answer_tokens

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may share."""
        return self.parts[:-1]

    @property
    def last_shared_part(self) -> PromptPart | None:
        """The last shared part: what the prompt is about."""
        shared = self.shared_parts
        return shared[-1] if shared else None


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One attempt of a caller, with its own id.

    `target` is the request line's path and query as sent. `fields` are the
    header fields to hand on as they came. `deadline_ms` is how long the
    caller waits from `arrived_ms` on. `last_event_id` is set when the caller
    resumes a stream.
    """

    id: str
    method: str
    target: str
    host: str
    key: str
    deadline_ms: float
    arrived_ms: float
    fields: HeaderFields
    body: bytes = b''
    generation: Generation | None = None
    last_event_id: int | None = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]
