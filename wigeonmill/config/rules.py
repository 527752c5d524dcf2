"""Determines which calls of a plain service must run at most once."""

from wigeonmill.config.model import Service


def runs_at_most_once(service: Service, method: str, path: str) -> bool:
    """Return whether a rule of the service marks a call as not repeatable.

    `path` begins with a slash; its query is ignored.
    """
    path_only = path.partition('?')[0]
    return any(
        rule.method == method and path_only.startswith(rule.path_prefix)
        for rule in service.non_repeatable
    )
