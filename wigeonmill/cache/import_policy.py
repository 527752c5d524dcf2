"""Decides how much of a prompt's prefix to import rather than recompute."""

from dataclasses import dataclass

from wigeonmill.cache.tiers import TierPlan


@dataclass(frozen=True, slots=True)
class ImportSettings:
    """Thresholds below which an import pays.

    An import may take at most `max_cost_share` of the time to recompute the
    same tokens. An import in progress is cut off when the remaining part is
    expected to take longer than `cut_off_share` of the time to recompute
    that part.
    """

    latency_ms: float = 5.0
    max_cost_share: float = 0.8
    cut_off_share: float = 1.0


@dataclass(frozen=True, slots=True)
class Prefix:
    """Where a prompt's leading blocks are held.

    The first `cached_blocks` are in accelerator memory; the `stored_blocks`
    that follow them are in the block store.
    """

    prompt_tokens: int
    block_tokens: int
    cached_blocks: int
    stored_blocks: int
    block_bytes: int


@dataclass(frozen=True, slots=True)
class Rates:
    """The rates by which import and recomputation are compared.

    `budget_bytes` is what the link budget still allows now. `wait_ms` is how
    long the request waits anyway; an import costs nothing during that time.
    """

    link_bytes_per_ms: float
    prefill_ms_per_token: float
    budget_bytes: int
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ImportProgress:
    """An import in progress; `bytes_per_ms` is the link's estimated rate."""

    blocks_done: int
    blocks_remaining: int
    block_bytes: int
    block_tokens: int
    bytes_per_ms: float


def plan_tiers(
    prefix: Prefix, rates: Rates, settings: ImportSettings
) -> TierPlan:
    """Return the plan that imports the leading blocks worth importing."""
    cached = prefix.cached_blocks * prefix.block_tokens
    cached = min(cached, prefix.prompt_tokens)
    blocks = _blocks_to_import(prefix, rates, settings)
    tokens = min(blocks * prefix.block_tokens, prefix.prompt_tokens - cached)
    size = blocks * prefix.block_bytes
    transfer_ms = settings.latency_ms + size / rates.link_bytes_per_ms
    return TierPlan(
        cached_tokens=cached,
        import_tokens=tokens,
        recompute_tokens=prefix.prompt_tokens - cached - tokens,
        import_blocks=blocks,
        import_bytes=size,
        import_ms=transfer_ms if blocks else 0.0,
    )


def should_cut_off(
    progress: ImportProgress,
    prefill_ms_per_token: float,
    settings: ImportSettings,
) -> bool:
    """Return whether recomputing the remaining blocks is now faster."""
    if not progress.blocks_remaining:
        return False
    if progress.bytes_per_ms <= 0.0:
        return True
    remaining_bytes = progress.blocks_remaining * progress.block_bytes
    remaining_tokens = progress.blocks_remaining * progress.block_tokens
    recompute_ms = remaining_tokens * prefill_ms_per_token
    import_ms = remaining_bytes / progress.bytes_per_ms
    return import_ms > recompute_ms * settings.cut_off_share


def plan_after_cut_off(plan: TierPlan, blocks_done: int) -> TierPlan:
    """Return the plan if only the first `blocks_done` were imported."""
    if not plan.import_blocks:
        return plan
    done = min(blocks_done, plan.import_blocks)
    block_tokens = plan.import_tokens // plan.import_blocks
    block_bytes = plan.import_bytes // plan.import_blocks
    whole = done == plan.import_blocks
    tokens = plan.import_tokens if whole else done * block_tokens
    missing = plan.import_tokens - tokens
    return TierPlan(
        plan.cached_tokens,
        tokens,
        plan.recompute_tokens + missing,
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
    # The import is too slow to wait for, but blocks that arrive while the
    # request waits anyway are free.
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
