"""What callers sent and what came back, kept apart from the system."""

from dataclasses import dataclass
from dataclasses import field
import enum


class AnswerState(enum.Enum):
    """How a prompt ended as its caller saw it."""

    WHOLE = 'whole'
    # Another text than the prompt's own, or a part of it only.
    WRONG = 'wrong'
    REFUSED = 'refused'


@dataclass(slots=True)
class PromptRecord:
    """One prompt; the time to the first token is in ms."""

    state: AnswerState
    first_token_ms: float
    prompt_tokens: int
    cached_tokens: int
    reason: str = ''


@dataclass(slots=True)
class CreditRecord:
    """One credit; `reference` is unique to it.

    `status` is that of the answer its caller saw; `not_run` whether a
    refusal said so.
    """

    reference: str
    status: int
    not_run: bool = False


@dataclass(slots=True)
class CallerRecords:
    """Everything that the callers saw."""

    prompts: list[PromptRecord] = field(default_factory=list)
    credits: list[CreditRecord] = field(default_factory=list)
