"""How much of a prompt's prefix to import instead of recomputing it."""

from dataclasses import dataclass

from wigeonmill.cache.tiers import TierPlan


@dataclass(frozen=True, slots=True)
class ImportSettings:
    """When an import pays.

    It has to take at most `max_cost_share` of the time to recompute the
    same tokens. One under way is cut off when its rest is expected to take
    longer than `cut_off_share` of recomputing that rest.
    """

    latency_ms: float = 5.0
    max_cost_share: float = 0.8
    cut_off_share: float = 1.0


@dataclass(frozen=True, slots=True)
class Prefix:
    """What is known of a prompt's leading blocks.

    The first `cached_blocks` are in accelerator memory and the next
    `stored_blocks` in the block store, one after the other.
    """

    prompt_tokens: int
    block_tokens: int
    cached_blocks: int
    stored_blocks: int
    block_bytes: int


@dataclass(frozen=True, slots=True)
class Rates:
    """The rates to weigh with.

    `budget_bytes` is what the link's budget still allows now; `wait_ms` is
    for how long the request waits anyway, while an import is free.
    """

    link_bytes_per_ms: float
    prefill_ms_per_token: float
    budget_bytes: int
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ImportProgress:
    """An import under way."""

    blocks_done: int
    blocks_left: int
    block_bytes: int
    block_tokens: int
    bytes_per_ms: float


def plan_tiers(
    prefix: Prefix, rates: Rates, settings: ImportSettings
) -> TierPlan:
    """Return the plan with the leading part that pays to import."""
    cached = prefix.cached_blocks * prefix.block_tokens
    cached = min(cached, prefix.prompt_tokens)
    blocks = _blocks_to_import(prefix, rates, settings)
    tokens = min(blocks * prefix.block_tokens, prefix.prompt_tokens - cached)
    size = blocks * prefix.block_bytes
    took_ms = settings.latency_ms + size / rates.link_bytes_per_ms
    return TierPlan(
        cached_tokens=cached,
        import_tokens=tokens,
        recompute_tokens=prefix.prompt_tokens - cached - tokens,
        import_blocks=blocks,
        import_bytes=size,
        import_ms=took_ms if blocks else 0.0,
    )


def should_cut_off(
    progress: ImportProgress,
    prefill_ms_per_token: float,
    settings: ImportSettings,
) -> bool:
    """Return whether recomputing the rest of an import is now quicker."""
    if not progress.blocks_left:
        return False
    if progress.bytes_per_ms <= 0.0:
        return True
    rest_bytes = progress.blocks_left * progress.block_bytes
    rest_tokens = progress.blocks_left * progress.block_tokens
    recompute_ms = rest_tokens * prefill_ms_per_token
    rest_ms = rest_bytes / progress.bytes_per_ms
    return rest_ms > recompute_ms * settings.cut_off_share


def plan_after_cut_off(plan: TierPlan, blocks_done: int) -> TierPlan:
    """Return the plan when only the first `blocks_done` were imported."""
    if not plan.import_blocks:
        return plan
    done = min(blocks_done, plan.import_blocks)
    block_tokens = plan.import_tokens // plan.import_blocks
    block_bytes = plan.import_bytes // plan.import_blocks
    whole = done == plan.import_blocks
    tokens = plan.import_tokens if whole else done * block_tokens
    lost = plan.import_tokens - tokens
    return TierPlan(
        plan.cached_tokens,
        tokens,
        plan.recompute_tokens + lost,
        done,
        done * block_bytes,
        plan.import_ms * done / plan.import_blocks,
    )


def _blocks_to_import(
    prefix: Prefix, rates: Rates, settings: ImportSettings
) -> int:
    if rates.link_bytes_per_ms <= 0.0 or prefix.block_bytes <= 0:
        return 0
    affordable = rates.budget_bytes // prefix.block_bytes
    blocks = min(prefix.stored_blocks, affordable)
    if blocks <= 0 or _pays(prefix, rates, settings, blocks):
        return max(0, blocks)
    # Too slow to wait for, but what arrives while the request waits is free.
    free_ms = rates.wait_ms - settings.latency_ms
    block_ms = prefix.block_bytes / rates.link_bytes_per_ms
    return min(blocks, max(0, int(free_ms / block_ms)))


def _pays(
    prefix: Prefix, rates: Rates, settings: ImportSettings, blocks: int
) -> bool:
    size = blocks * prefix.block_bytes
    import_ms = settings.latency_ms + size / rates.link_bytes_per_ms
    tokens = blocks * prefix.block_tokens
    recompute_ms = tokens * rates.prefill_ms_per_token
    extra_ms = max(0.0, import_ms - rates.wait_ms)
    return extra_ms <= recompute_ms * settings.max_cost_share
