"""Where each part of a prompt comes from: accelerator, store, computation."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TierPlan:
    """The sources of a prompt's tokens, in the order of the prompt.

    First `cached_tokens` from accelerator memory, then `import_tokens`
    (`import_blocks` blocks of `import_bytes`) from the block store, then
    `recompute_tokens`. The import is expected to take `import_ms`.
    """

    cached_tokens: int
    import_tokens: int
    recompute_tokens: int
    import_blocks: int = 0
    import_bytes: int = 0
    import_ms: float = 0.0

    def without_import(self) -> 'TierPlan':
        """Return the plan that computes what would have been imported."""
        recompute = self.import_tokens + self.recompute_tokens
        return TierPlan(self.cached_tokens, 0, recompute)


def full_recompute_plan(prompt_tokens: int) -> TierPlan:
    """Return the plan that computes the whole prompt."""
    return TierPlan(0, 0, prompt_tokens)
