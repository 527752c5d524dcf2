"""The source of each part of a prompt: memory, store or recomputation."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TierPlan:
    """The sources of a prompt's tokens, in the order of the prompt.

    `cached_tokens` come from accelerator memory, then `import_tokens` from
    the block store (`import_blocks` blocks, `import_bytes` bytes in all),
    then `recompute_tokens` are computed. The import is expected to take
    `import_ms`.
    """

    cached_tokens: int
    import_tokens: int
    recompute_tokens: int
    import_blocks: int = 0
    import_bytes: int = 0
    import_ms: float = 0.0

    def without_import(self) -> 'TierPlan':
        """Return the plan that recomputes the tokens to be imported."""
        recompute = self.import_tokens + self.recompute_tokens
        return TierPlan(self.cached_tokens, 0, recompute)


def full_recompute_plan(prompt_tokens: int) -> TierPlan:
    """Return the plan that recomputes the whole prompt."""
    return TierPlan(0, 0, prompt_tokens)
