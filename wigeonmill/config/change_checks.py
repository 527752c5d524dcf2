"""Checks the change from one document to its successor."""

from collections.abc import Iterator

from wigeonmill.config.checks import in_service_targets
from wigeonmill.config.faults import Fault
from wigeonmill.config.faults import make_pointer
from wigeonmill.config.model import Document
from wigeonmill.config.model import Service

# The largest share of its in-service targets that a service may lose in one
# change without force.
MAX_REMOVED_SHARE = 0.4


def check_change(old: Document, new: Document) -> list[Fault]:
    """Return the forceable faults of the change from `old` to `new`."""
    after = {service.name: service for service in new.services}
    faults: list[Fault] = []
    for service in old.services:
        if service.name not in after:
            faults.append(_service_removed_fault(service))
            continue
        faults += _check_service(old, new, service, after[service.name])
    return faults


def _service_removed_fault(service: Service) -> Fault:
    problem = f'service {service.name} is removed'
    remedy = f'Keep service {service.name}'
    return Fault('/services', '', problem, remedy, forceable=True)


def _check_service(
    old: Document, new: Document, before: Service, after: Service
) -> Iterator[Fault]:
    old_names = {t.name for t in in_service_targets(old, before)}
    new_names = {t.name for t in in_service_targets(new, after)}
    removed = len(old_names - new_names)
    if not old_names or removed / len(old_names) <= MAX_REMOVED_SHARE:
        return
    index = new.services.index(after)
    problem = (
        f'{removed} of {len(old_names)} in-service targets of service '
        f'{after.name} leave at once'
    )
    share = f'{MAX_REMOVED_SHARE * 100:.0f} %'
    remedy = f'Take out at most {share} in one change'
    pointer = make_pointer('services', index, 'targets')
    yield Fault(pointer, '', problem, remedy, forceable=True)
