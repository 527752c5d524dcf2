"""Plans the rollout of a weight version over the targets of a service.

The plan is recomputed each time from the reports of the targets, so the
rollout resumes after the failure of any process. A target is drained, loads
the weights and serves again, while enough other targets keep the service
available.
"""

import collections
from collections.abc import Sequence
from dataclasses import dataclass
import enum

# A target has its full capacity once its limit is this multiple of the mean
# number of runs.
LIMIT_HEADROOM = 1.25


class TargetPhase(enum.Enum):
    """The phase of the rollout that a target reports."""

    SERVING = 'serving'
    DRAINING = 'draining'
    LOADING = 'loading'
    DOWN = 'down'


class OrderKind(enum.Enum):
    """The next step ordered from a target."""

    DRAIN = 'drain'
    LOAD = 'load'
    SERVE = 'serve'


@dataclass(frozen=True, slots=True)
class TargetReport:
    """The state of one target of the service.

    `capacity` is its relative capacity when warm; `limit_share` is the
    fraction of it that is available now (less than 1 while cold). `running`
    is the number of runs.
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

    At least `min_serving_share` of the capacity of all targets keeps serving,
    except that services with too few targets for this drain one target at a
    time. At most `concurrent_loads` targets hold a load slot at a time.
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
    """Orders to issue now; `done` if all live targets serve the version."""

    orders: tuple[Order, ...]
    done: bool


def limit_share(limit: int, running: Sequence[int]) -> float:
    """Return the available fraction of a target's capacity at this limit.

    `running` holds the number of runs of each target of the service. After a
    cold start a target has its full capacity once its limit exceeds the mean
    number of runs by some headroom.
    """
    mean_runs = sum(running) / max(1, len(running))
    return min(1.0, limit / max(1.0, LIMIT_HEADROOM * mean_runs))


def plan_rollout(
    targets: list[TargetReport],
    weight_version: str,
    slots_held: frozenset[str],
    settings: RolloutSettings,
) -> RolloutPlan:
    """Return the next orders for a rollout of `weight_version`.

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
    # Targets that hold a slot go first; their order may have been lost.
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
    needed_capacity = total * settings.min_serving_share
    serving = [t for t in targets if t.phase is TargetPhase.SERVING]
    spare_capacity = (
        sum(t.capacity * t.limit_share for t in serving) - needed_capacity
    )
    serving_by_domain = collections.Counter(
        target.failure_domain for target in serving
    )
    max_drains = settings.concurrent_loads - _draining_or_loading(
        targets, slots_held
    )
    outdated = [t for t in serving if t.weight_version != weight_version]
    if _may_drain_one(targets, settings):
        spare_capacity = max(spare_capacity, max(t.capacity for t in targets))
    orders: list[Order] = []
    while outdated and len(orders) < max_drains:
        # Drain in the failure domain with the most serving targets, where
        # the loss of one matters least.
        target = min(
            outdated,
            key=lambda t: (-serving_by_domain[t.failure_domain], t.name),
        )
        outdated.remove(target)
        lost_capacity = target.capacity * target.limit_share
        if lost_capacity <= spare_capacity:
            spare_capacity -= lost_capacity
            serving_by_domain[target.failure_domain] -= 1
            orders.append(Order(OrderKind.DRAIN, target.name))
    return orders


def _may_drain_one(
    targets: list[TargetReport], settings: RolloutSettings
) -> bool:
    share = settings.min_serving_share
    total = sum(target.capacity for target in targets)
    smallest = min((target.capacity for target in targets), default=0.0)
    too_few_targets = total - smallest < total * share
    all_warm = all(
        target.phase is TargetPhase.SERVING and target.limit_share >= share
        for target in targets
    )
    return too_few_targets and all_warm


def _loading(
    live: list[TargetReport], slots_held: frozenset[str]
) -> frozenset[str]:
    loading = {t.name for t in live if t.phase is TargetPhase.LOADING}
    return slots_held | loading


def _draining_or_loading(
    targets: list[TargetReport], slots_held: frozenset[str]
) -> int:
    phases = (TargetPhase.DRAINING, TargetPhase.LOADING)
    names = {t.name for t in targets if t.phase in phases}
    return len(names | slots_held)
