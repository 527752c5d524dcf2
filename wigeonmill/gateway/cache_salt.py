"""Builds and parses the salts under which targets cache prompt parts."""

import re

from wigeonmill.gateway.desired import Team

# The owner of a cache that teams share. It contains a space, which no team's
# name does.
_SHARED_OWNER = 'shared cache'
_SALT_PATTERN = re.compile(r'(\S+) v(\d+) ')


def cache_salt(
    model: str, weight_version: int, team: Team | None, nonce: str = ''
) -> str:
    """Return the cache salt for the prompt parts of a request.

    Requests share cached parts only under the same salt. Parts are therefore
    never shared between weight versions or between an isolated team and
    another one.
    """
    owner = team.name if team is not None and team.isolated else _SHARED_OWNER
    salt = f'{model} v{weight_version} {owner}'
    return f'{salt} {nonce}' if nonce else salt


def weights_of_salt(salt: str) -> tuple[str, int] | None:
    """Return the model and the weight version in a salt, or None."""
    found = _SALT_PATTERN.match(salt)
    return (found.group(1), int(found.group(2))) if found else None
