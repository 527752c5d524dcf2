"""Plans a change of weights over a service's targets.

The plan is worked out anew from what the targets report, so that it
resumes after any process dies. A target is drained, loads, and serves
again; enough of the others carry the service meanwhile.
"""

import collections
from collections.abc import Sequence
from dataclasses import dataclass
import enum

# A target bears its share once its limit is this many times the usual runs.
LIMIT_HEADROOM = 1.25


class TargetPhase(enum.Enum):
    """What a target reports about itself."""

    SERVING = 'serving'
    DRAINING = 'draining'
    LOADING = 'loading'
    DOWN = 'down'


class OrderKind(enum.Enum):
    """What a target is to do next."""

    DRAIN = 'drain'
    LOAD = 'load'
    SERVE = 'serve'


@dataclass(frozen=True, slots=True)
class TargetReport:
    """One target of the service.

    `capacity` is its share of work when warm, `limit_share` how much of it
    the target bears now (less than 1 while cold). `running` counts runs.
    """

    name: str
    failure_domain: str
    weight_version: str
    phase: TargetPhase
    capacity: float = 1.0
    limit_share: float = 1.0
    running: int = 0


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Bounds of a rollout.

    At least `min_serving_share` of the capacity of all targets stays in
    service, but for one target at a time in services too small for that. At
    most `concurrent_loads` targets hold a load slot at a time.
    """

    concurrent_loads: int
    min_serving_share: float = 0.8


@dataclass(frozen=True, slots=True)
class Order:
    """An order for one target; a LOAD needs a load slot while it runs."""

    kind: OrderKind
    target: str
    weight_version: str = ''


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """Orders to give now; `done` when every live target has the version."""

    orders: tuple[Order, ...]
    done: bool


def limit_share(limit: int, running: Sequence[int]) -> float:
    """Return the share of its work that a target with this limit bears.

    `running` counts the runs of every target of the service. A target that
    has been cold bears all once its limit leaves room beside the usual runs.
    """
    usual = sum(running) / max(1, len(running))
    return min(1.0, limit / max(1.0, LIMIT_HEADROOM * usual))


def plan_rollout(
    targets: list[TargetReport],
    weight_version: str,
    slots_held: frozenset[str],
    settings: RolloutSettings,
) -> RolloutPlan:
    """Return the next orders towards `weight_version` on every target.

    `slots_held` names the targets that hold a leased load slot.
    """
    live = [target for target in targets if target.phase != TargetPhase.DOWN]
    orders = [
        *_serve_orders(live, weight_version),
        *_load_orders(live, weight_version, slots_held, settings),
        *_drain_orders(targets, weight_version, slots_held, settings),
    ]
    done = all(
        target.weight_version == weight_version
        and target.phase is TargetPhase.SERVING
        for target in live
    )
    return RolloutPlan(tuple(orders), done)


def _serve_orders(
    live: list[TargetReport], weight_version: str
) -> list[Order]:
    return [
        Order(OrderKind.SERVE, target.name)
        for target in live
        if target.phase is TargetPhase.DRAINING
        and target.weight_version == weight_version
    ]


def _load_orders(
    live: list[TargetReport],
    weight_version: str,
    slots_held: frozenset[str],
    settings: RolloutSettings,
) -> list[Order]:
    ready = [
        target
        for target in live
        if target.phase is TargetPhase.DRAINING
        and target.weight_version != weight_version
        and not target.running
    ]
    # Who holds a slot already goes first: its order may have been lost.
    ready.sort(key=lambda target: (target.name not in slots_held, target.name))
    free = settings.concurrent_loads - len(_loading(live, slots_held))
    orders = []
    for target in ready:
        if target.name not in slots_held:
            if free <= 0:
                break
            free -= 1
        order = Order(OrderKind.LOAD, target.name, weight_version)
        orders.append(order)
    return orders


def _drain_orders(
    targets: list[TargetReport],
    weight_version: str,
    slots_held: frozenset[str],
    settings: RolloutSettings,
) -> list[Order]:
    total = sum(target.capacity for target in targets)
    needed = total * settings.min_serving_share
    serving = [t for t in targets if t.phase is TargetPhase.SERVING]
    spare = sum(t.capacity * t.limit_share for t in serving) - needed
    left = collections.Counter(target.failure_domain for target in serving)
    places = settings.concurrent_loads - _under_change(targets, slots_held)
    old = [t for t in serving if t.weight_version != weight_version]
    if _may_miss_one(targets, settings):
        spare = max(spare, max(t.capacity for t in targets))
    orders: list[Order] = []
    while old and len(orders) < places:
        # The domain with most targets in service can best miss one.
        target = min(old, key=lambda t: (-left[t.failure_domain], t.name))
        old.remove(target)
        lost = target.capacity * target.limit_share
        if lost <= spare:
            spare -= lost
            left[target.failure_domain] -= 1
            orders.append(Order(OrderKind.DRAIN, target.name))
    return orders


def _may_miss_one(
    targets: list[TargetReport], settings: RolloutSettings
) -> bool:
    share = settings.min_serving_share
    total = sum(target.capacity for target in targets)
    least = min((target.capacity for target in targets), default=0.0)
    too_small = total - least < total * share
    all_warm = all(
        target.phase is TargetPhase.SERVING and target.limit_share >= share
        for target in targets
    )
    return too_small and all_warm


def _loading(
    live: list[TargetReport], slots_held: frozenset[str]
) -> frozenset[str]:
    loading = {t.name for t in live if t.phase is TargetPhase.LOADING}
    return slots_held | loading


def _under_change(
    targets: list[TargetReport], slots_held: frozenset[str]
) -> int:
    phases = (TargetPhase.DRAINING, TargetPhase.LOADING)
    names = {t.name for t in targets if t.phase in phases}
    return len(names | slots_held)
