"""Defines the decoded form of a caller's request."""

from dataclasses import dataclass

HeaderFields = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; requests that share the part use the same id."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Generation:
    """The parameters of a model request.

    `parts` are in the order of the prompt. The last one belongs to this
    request alone.
    """

    model: str
    prompt_tokens: int
    max_answer_tokens: int
    parts: tuple[PromptPart, ...] = ()
    expected_answer_tokens: int | None = None

    @property
    def tokens(self) -> int:
        """The memory that the run occupies at its end, in tokens."""
        return self.prompt_tokens + self.max_answer_tokens

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share."""
        return self.parts[:-1]

    @property
    def last_shared_part(self) -> PromptPart | None:
        """The last shared part, such as the document that the prompt uses."""
        shared = self.shared_parts
        return shared[-1] if shared else None


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller; a repeat by the caller has an id of its own.

    `target` is the path and query of the request line as sent. `fields` are
    the header fields to pass on unchanged. `deadline_ms` is how long the
    caller waits, counted from `arrived_ms`. `last_event_id` is set if the
    caller resumes a stream, and `resumed_id` is then the id of the request
    that began it, if the caller states it.
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
    resumed_id: str = ''

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]
