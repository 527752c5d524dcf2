"""Changes one place of the current document, despite concurrent changes."""

from collections.abc import Callable
from dataclasses import dataclass
import enum
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.config.acceptance import Accepted
from wigeonmill.config.acceptance import Conflict
from wigeonmill.config.acceptance import Rejected
from wigeonmill.config.acceptance import Submission
from wigeonmill.config.acceptance import submit
from wigeonmill.config.acceptance import SubmitError
from wigeonmill.config.acceptance import Unavailable
from wigeonmill.config.faults import Fault
from wigeonmill.config.history import read_current
from wigeonmill.config.model import Document
from wigeonmill.providers.key_value import KeyValue

# Attempts to submit the change on the newest record before a conflict is
# reported.
AMEND_ATTEMPTS = 5

AmendDocument = Callable[[Document], Result[Document, Fault]]


class UnitKind(enum.Enum):
    """Kinds of units that can be taken out of service and put back."""

    DOMAIN = 'domain'
    TARGET = 'target'
    STORE_VM = 'store-vm'


@dataclass(frozen=True, slots=True)
class Authorship:
    """The author of a submission; `new_id` returns a unique submission id."""

    author: str
    new_id: Callable[[], str]
    force: bool = False


def set_in_service(
    document: Document, kind: UnitKind, name: str, in_service: bool
) -> Result[Document, Fault]:
    """Return the document with one unit put into or out of service."""
    match kind:
        case UnitKind.DOMAIN:
            domains = document.failure_domains
            fields = {
                'failure_domains': _set_units_in_service(
                    domains, name, in_service
                )
            }
            names = [domain.name for domain in domains]
        case UnitKind.STORE_VM:
            store_vms = document.store_vms
            fields = {
                'store_vms': _set_units_in_service(store_vms, name, in_service)
            }
            names = [store_vm.name for store_vm in store_vms]
        case UnitKind.TARGET:
            services = [
                msgspec.structs.replace(
                    s,
                    targets=_set_units_in_service(s.targets, name, in_service),
                )
                for s in document.services
            ]
            fields = {'services': services}
            names = [t.name for s in services for t in s.targets]
    if name not in names:
        remedy = f'Write one of {", ".join(names)}'
        return Err(Fault('', name, f'unknown {kind.value}', remedy))
    return Ok(msgspec.structs.replace(document, **fields))


async def amend_current(
    kv: KeyValue, clock: Clock, amend: AmendDocument, authorship: Authorship
) -> Result[Accepted, SubmitError]:
    """Apply `amend` to the current document and submit the result.

    If another operator has submitted in the meantime, `amend` is applied
    again to the newest record.
    """
    outcome: Result[Accepted, SubmitError] = Err(Unavailable('not tried'))
    for _attempt in range(AMEND_ATTEMPTS):
        outcome = await _amend_once(kv, clock, amend, authorship)
        if outcome.is_ok() or not isinstance(outcome.err(), Conflict):
            break
    return outcome


async def _amend_once(
    kv: KeyValue, clock: Clock, amend: AmendDocument, authorship: Authorship
) -> Result[Accepted, SubmitError]:
    found = await read_current(kv)
    if isinstance(found, Err):
        return Err(Unavailable(found.err_value.message))
    current = found.ok_value
    if current is None:
        problem = 'there is no configuration yet'
        return Err(Rejected([Fault('', '', problem, 'Apply a document')]))
    amended = amend(current.record.document)
    if isinstance(amended, Err):
        return Err(Rejected([amended.err_value]))
    submission = Submission(
        amended.ok_value,
        authorship.author,
        authorship.new_id(),
        current.record.serial,
        authorship.force,
    )
    return await submit(kv, clock, submission)


def _set_units_in_service(
    units: list[Any], name: str, in_service: bool
) -> list[Any]:
    return [
        msgspec.structs.replace(unit, in_service=in_service)
        if unit.name == name
        else unit
        for unit in units
    ]
