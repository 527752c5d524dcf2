"""What callers and operators saw, kept apart from the system."""

from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class PromptRecord:
    """One streamed prompt over all its attempts.

    `texts` holds the text of each attempt that was not resumed; `whole`
    says that the last one ended well; `reasons` are those of refusals.
    """

    prompt: str
    max_tokens: int
    marked: bool = False
    texts: list[str] = field(default_factory=lambda: [''])
    event_id: str = ''
    whole: bool = False
    resumed: int = 0
    ended: bool = False
    reasons: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class CreditReply:
    """One answer to a credit; status 0 is a lost connection.

    `request_id` is that of the attempt, as its ledger would see it.
    """

    status: int
    reference: str = ''
    reason: str = ''
    not_run: bool = False
    request_id: str = ''


@dataclass(slots=True)
class CreditRecord:
    """One credit; `reference` is unique to it."""

    reference: str
    replies: list[CreditReply] = field(default_factory=list)
    ended: bool = False


@dataclass(slots=True)
class CallerRecords:
    """Everything that the callers saw."""

    prompts: list[PromptRecord] = field(default_factory=list)
    credits: list[CreditRecord] = field(default_factory=list)

    @property
    def open_requests(self) -> int:
        """The number of requests whose callers still wait."""
        records = [*self.prompts, *self.credits]
        return sum(1 for record in records if not record.ended)
