"""Records of what callers sent and received, kept outside the system."""

from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class PromptRecord:
    """One streamed prompt with all its attempts.

    `texts` holds one text for each attempt that started anew; a resumed one
    adds to the last text. `whole` says that the last stream was complete.
    `reasons` holds the reasons of refusals and failures.
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
    """The reply to one attempt; status 0 means that the connection was lost.

    `request_id` identifies the attempt; the ledger records the same id.
    """

    status: int
    reference: str = ''
    reason: str = ''
    not_run: bool = False
    request_id: str = ''


@dataclass(slots=True)
class CreditRecord:
    """One credit with all its replies; `reference` is unique."""

    reference: str
    replies: list[CreditReply] = field(default_factory=list)
    ended: bool = False


@dataclass(slots=True)
class CallerRecords:
    """The records of all callers."""

    prompts: list[PromptRecord] = field(default_factory=list)
    credits: list[CreditRecord] = field(default_factory=list)

    @property
    def open_requests(self) -> int:
        """The number of requests whose callers are still waiting."""
        records = [*self.prompts, *self.credits]
        return sum(1 for record in records if not record.ended)
