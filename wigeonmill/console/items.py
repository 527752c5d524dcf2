"""Finds, adds, replaces and removes single items of a document."""

from dataclasses import dataclass
import enum
from typing import Any

import msgspec

from wigeonmill.config.model import Document
from wigeonmill.config.model import FailureDomain
from wigeonmill.config.model import Limits
from wigeonmill.config.model import Model
from wigeonmill.config.model import Service
from wigeonmill.config.model import StoreVm
from wigeonmill.config.model import Target
from wigeonmill.config.model import Team


class ItemKind(enum.Enum):
    """A kind of item that has its own form."""

    SERVICE = 'service'
    TARGET = 'target'
    DOMAIN = 'domain'
    TEAM = 'team'
    MODEL = 'model'
    STORE_VM = 'store-vm'
    LIMITS = 'limits'


@dataclass(frozen=True, slots=True)
class KindInfo:
    """The type, section and display names of a kind of item."""

    type: Any
    section: str
    noun: str
    plural: str


KINDS = {
    ItemKind.SERVICE: KindInfo(Service, 'services', 'service', 'Services'),
    ItemKind.TARGET: KindInfo(Target, 'targets', 'target', 'Targets'),
    ItemKind.DOMAIN: KindInfo(
        FailureDomain, 'failure_domains', 'failure domain', 'Failure domains'
    ),
    ItemKind.TEAM: KindInfo(Team, 'teams', 'team', 'Teams'),
    ItemKind.MODEL: KindInfo(Model, 'models', 'model', 'Models'),
    ItemKind.STORE_VM: KindInfo(StoreVm, 'store_vms', 'store VM', 'Store VMs'),
    ItemKind.LIMITS: KindInfo(Limits, 'limits', 'limits', 'Limits'),
}


@dataclass(frozen=True, slots=True)
class ItemRef:
    """Identifies an item; `parent` is the service of a target.

    An empty name denotes a new item.
    """

    kind: ItemKind
    name: str = ''
    parent: str = ''

    @property
    def info(self) -> KindInfo:
        """The type, section and display names of this kind of item."""
        return KINDS[self.kind]


def list_items(document: Document, ref: ItemRef) -> list[Any] | None:
    """Return the list that contains an item; None without its parent."""
    if ref.kind is not ItemKind.TARGET:
        return getattr(document, ref.info.section)
    for service in document.services:
        if service.name == ref.parent:
            return service.targets
    return None


def find_item(document: Document, ref: ItemRef) -> Any:
    """Return the item, or None if it does not exist."""
    if ref.kind is ItemKind.LIMITS:
        return document.limits
    for item in list_items(document, ref) or []:
        if item.name == ref.name:
            return item
    return None


def put_item(document: Document, ref: ItemRef, item: Any) -> Document:
    """Return the document with an item added or replaced."""
    if ref.kind is ItemKind.LIMITS:
        return msgspec.structs.replace(document, limits=item)
    items = list(list_items(document, ref) or [])
    names = [existing.name for existing in items]
    if ref.name in names:
        items[names.index(ref.name)] = item
    else:
        items.append(item)
    return _with_items(document, ref, items)


def remove_item(document: Document, ref: ItemRef) -> Document:
    """Return the document without an item."""
    items = list_items(document, ref) or []
    remaining = [item for item in items if item.name != ref.name]
    return _with_items(document, ref, remaining)


def make_item_pointer(document: Document, ref: ItemRef) -> str:
    """Return the JSON pointer of a named item."""
    if ref.kind is ItemKind.LIMITS:
        return '/limits'
    names = [item.name for item in list_items(document, ref) or []]
    path = f'{ref.info.section}/{names.index(ref.name)}'
    if ref.kind is not ItemKind.TARGET:
        return f'/{path}'
    services = [service.name for service in document.services]
    return f'/services/{services.index(ref.parent)}/{path}'


def _with_items(
    document: Document, ref: ItemRef, items: list[Any]
) -> Document:
    if ref.kind is not ItemKind.TARGET:
        return msgspec.structs.replace(document, **{ref.info.section: items})
    services = [
        msgspec.structs.replace(service, targets=items)
        if service.name == ref.parent
        else service
        for service in document.services
    ]
    return msgspec.structs.replace(document, services=services)
