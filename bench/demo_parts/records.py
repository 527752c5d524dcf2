"""Records of what callers sent and received, kept outside the system."""

from dataclasses import dataclass
from dataclasses import field
import enum


class AnswerState(enum.Enum):
    """The result of a prompt from the view of its caller."""

    WHOLE = 'whole'
    # The text is not the expected one, or only a part of it.
    WRONG = 'wrong'
    REFUSED = 'refused'


@dataclass(slots=True)
class PromptRecord:
    """One prompt with its result; `reason` is that of a refusal."""

    state: AnswerState
    first_token_ms: float
    prompt_tokens: int
    cached_tokens: int
    reason: str = ''


@dataclass(slots=True)
class CreditRecord:
    """One credit with its last answer; `reference` is unique.

    `status` is 0 if the connection was lost. `not_run` says whether the
    answer was a refusal that stated that the credit has not run.
    """

    reference: str
    status: int
    not_run: bool = False


@dataclass(slots=True)
class CallerRecords:
    """The records of all callers."""

    prompts: list[PromptRecord] = field(default_factory=list)
    credits: list[CreditRecord] = field(default_factory=list)
