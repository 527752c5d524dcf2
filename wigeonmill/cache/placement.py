"""Computes which store VMs hold a block, so that no directory is needed.

Every agent ranks the store VMs by rendezvous hashing on the first key of the
block's prefix, so that each agent finds the blocks that others wrote. Full
and dead VMs are skipped when writing; the loss of a VM causes misses.
"""

from dataclasses import dataclass

import xxhash


@dataclass(frozen=True, slots=True)
class StoreState:
    """The known state of a store VM; `fill` is the used share, 0 to 1."""

    name: str
    alive: bool = True
    fill: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Writes skip a VM whose fill is `max_fill` or more.

    Both writes and reads only try the first `attempts` VMs of a block's
    ranking.
    """

    max_fill: float = 0.95
    attempts: int = 2


def rank_stores(anchor: bytes, stores: list[StoreState]) -> list[StoreState]:
    """Return all store VMs, best first, in the same order on every agent.

    `anchor` is the first key of a prefix, so that the blocks of a prefix
    stay together: the loss of a VM costs few prefixes, but those entirely.
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
    """Return the VM to write to, or None if no eligible VM accepts writes.

    A second `copy` is written to the next VM after the first one.
    """
    available = [
        store
        for store in rank_stores(anchor, stores)[: settings.attempts]
        if store.alive and store.fill < settings.max_fill
    ]
    index = 1 if copy else 0
    return available[index] if index < len(available) else None


def places_for_read(
    anchor: bytes, stores: list[StoreState], settings: PlacementSettings
) -> list[StoreState]:
    """Return the live VMs that may hold a block, most likely first."""
    ranked = rank_stores(anchor, stores)[: settings.attempts]
    return [store for store in ranked if store.alive]


def _score(anchor: bytes, name: str) -> int:
    return xxhash.xxh3_64_intdigest(anchor + name.encode())
