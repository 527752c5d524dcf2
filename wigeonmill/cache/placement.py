"""Which store VMs keep a block: computed, so that no directory is kept.

Every agent ranks the store VMs by rendezvous hashing on the block's first
key, so that any finds what another wrote. A VM that is full or dead is
passed over when writing; its loss is a miss.
"""

from dataclasses import dataclass

import xxhash


@dataclass(frozen=True, slots=True)
class StoreState:
    """What is known of one store VM; `fill` is its used share, 0 to 1."""

    name: str
    alive: bool = True
    fill: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Writing passes over a VM at `max_fill` or above.

    Both writing and reading look at the first `attempts` VMs of a block's
    ranking only.
    """

    max_fill: float = 0.95
    attempts: int = 2


def rank_stores(anchor: bytes, stores: list[StoreState]) -> list[StoreState]:
    """Return all store VMs, best first, in an order any agent finds.

    `anchor` is the first key of a prefix, so that the blocks of a prefix
    stay together and one VM's loss costs few prefixes whole.
    """
    return sorted(
        stores,
        key=lambda store: (_score(anchor, store.name), store.name),
        reverse=True,
    )


def place_for_write(
    anchor: bytes,
    stores: list[StoreState],
    settings: PlacementSettings,
    copy: bool = False,
) -> StoreState | None:
    """Return the VM to write to, or None if all that may keep it can't.

    A second `copy` goes to the next VM after that of the first.
    """
    open_stores = [
        store
        for store in rank_stores(anchor, stores)[: settings.attempts]
        if store.alive and store.fill < settings.max_fill
    ]
    at = 1 if copy else 0
    return open_stores[at] if at < len(open_stores) else None


def places_for_read(
    anchor: bytes, stores: list[StoreState], settings: PlacementSettings
) -> list[StoreState]:
    """Return the live VMs that may hold a block, likeliest first."""
    ranked = rank_stores(anchor, stores)[: settings.attempts]
    return [store for store in ranked if store.alive]


def _score(anchor: bytes, name: str) -> int:
    return xxhash.xxh3_64_intdigest(anchor + name.encode())
