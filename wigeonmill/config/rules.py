"""Which calls of a plain service may run at most once."""

from wigeonmill.config.model import Service


def runs_at_most_once(service: Service, method: str, path: str) -> bool:
    """Tell whether a call is marked as not repeatable.

    `path` begins with a slash; its query is not looked at.
    """
    bare = path.partition('?')[0]
    return any(
        rule.method == method and bare.startswith(rule.path_prefix)
        for rule in service.non_repeatable
    )
