"""Derives the unavailable targets from the membership view."""

from wigeonmill.config.model import Document
from wigeonmill.membership.leaving_vms import LeavingVms
from wigeonmill.membership.member import State
from wigeonmill.membership.view import View


def unavailable_targets(
    document: Document, view: View, leaving_vms: LeavingVms
) -> frozenset[str]:
    """Return the targets whose agent is not alive or whose VM is leaving.

    A target whose agent has never been in the view counts as available.
    """
    served = {view.me.target}
    not_alive_agents = {}
    for member in view.members.values():
        if member.state is State.ALIVE:
            served.add(member.target)
        elif member.target:
            not_alive_agents[member.target] = member.name
    unavailable = set(not_alive_agents) - served
    if not leaving_vms.vms:
        return frozenset(unavailable)
    for service in document.services:
        for target in service.targets:
            names = (
                target.name,
                not_alive_agents.get(target.name, target.name),
            )
            if leaving_vms.is_leaving(names, target.agent):
                unavailable.add(target.name)
    return frozenset(unavailable)
