"""What it costs to serve a request in another failure domain.

Load: targets in every domain that all answer in time, while operators pay for
what passes between domains. The cost is a tie-break between such targets and
never a reason to be late: it stays below the cost of a request that is late.
"""

from wigeonmill.gateway.request import Generation

# Bytes of head fields, in both directions, and of the answer per token.
HEAD_BYTES = 1_000
TOKEN_BYTES = 4
# Limit of the cost of one request, as a share of its credit.
MAX_COST = 0.1
MEGABYTE = 1e6


class DomainCosts:
    """The cost of targets outside of this entry's failure domain.

    `per_megabyte` is a share of the credit of a request, and 0 where traffic
    between domains costs nothing.
    """

    __slots__ = ('_own_domain', '_per_megabyte')

    def __init__(
        self, own_domain: str = '', per_megabyte: float = 0.0
    ) -> None:
        self._own_domain = own_domain
        self._per_megabyte = per_megabyte

    @property
    def apply(self) -> bool:
        """Whether domains make a difference."""
        return self._per_megabyte > 0

    def is_own(self, domain: str) -> bool:
        """Whether `domain` is that of this entry."""
        return domain == self._own_domain

    def cost(
        self, domain: str, body_bytes: int, generation: Generation | None
    ) -> float:
        """Return the cost of a request as a share of its credit."""
        if not self.apply or self.is_own(domain):
            return 0.0
        answer = generation.max_answer_tokens if generation else 0
        total = HEAD_BYTES + body_bytes + TOKEN_BYTES * answer
        return min(MAX_COST, self._per_megabyte * total / MEGABYTE)
