"""Which targets get no new work, by what membership knows."""

from wigeonmill.config.model import Document
from wigeonmill.membership.member import State
from wigeonmill.membership.view import View
from wigeonmill.membership.vm_news import LeavingVms


def unavailable_targets(
    document: Document, view: View, vm_news: LeavingVms
) -> frozenset[str]:
    """Return the targets whose agent is not alive or whose VM leaves.

    A target whose agent was never heard of counts as available.
    """
    served = {view.me.target}
    silent = {}
    for member in view.members.values():
        if member.state is State.ALIVE:
            served.add(member.target)
        elif member.target:
            silent[member.target] = member.name
    unavailable = set(silent) - served
    if not vm_news.leaving:
        return frozenset(unavailable)
    for service in document.services:
        for target in service.targets:
            names = (target.name, silent.get(target.name, target.name))
            if vm_news.is_leaving(names, target.agent):
                unavailable.add(target.name)
    return frozenset(unavailable)
