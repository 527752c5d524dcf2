"""Builds and parses the salts under which targets cache prompt parts."""

from collections.abc import Sequence
import re

import msgspec
import xxhash

from wigeonmill.gateway.desired import Team

# It contains a space, which no team's name does.
_SHARED_OWNER = 'shared cache'
_SALT_PATTERN = re.compile(r'(\S+) v(\d+) (.+)')


class CacheOwners:
    """Tells whose cache the requests of a team use.

    Isolated teams have one each, all others share one. That is another one if
    other teams share it: what a team has left there must be out of reach once
    it is isolated, and nothing but the desired state may tell so, because all
    entries have to agree, also after a restart.
    """

    __slots__ = ('_sharing', '_isolated', '_shared')

    def __init__(self, teams: Sequence[Team] = ()) -> None:
        self._isolated = {team.name for team in teams if team.isolated}
        self._sharing = {team.name for team in teams} - self._isolated
        names = msgspec.json.encode(sorted(self._sharing))
        self._shared = f'{_SHARED_OWNER} {xxhash.xxh3_128_hexdigest(names)}'

    def owner(self, team: Team | None) -> str:
        """Return the owner of the cache that a team's requests use.

        A request that was accepted under an earlier state uses the cache that
        its team has now. A team that is gone has one of its own, as it may
        return isolated.
        """
        if team is None or team.name in self._sharing:
            return self._shared
        return team.name

    def all(self) -> set[str]:
        """Return the owners of all caches in use."""
        return self._isolated | {self._shared}


def cache_salt(
    model: str, weight_version: int, owner: str, nonce: str = ''
) -> str:
    """Return the cache salt for the prompt parts of a request.

    Requests share cached parts only under the same salt. Parts are therefore
    never shared between weight versions or between owners of caches.
    """
    salt = f'{model} v{weight_version} {owner}'
    return f'{salt} {nonce}' if nonce else salt


def weights_of_salt(salt: str) -> tuple[str, int] | None:
    """Return the model and the weight version in a salt, or None."""
    found = _SALT_PATTERN.match(salt)
    return (found.group(1), int(found.group(2))) if found else None


def owner_of_salt(salt: str) -> str | None:
    """Return the owner of the cache that a salt is for, or None."""
    found = _SALT_PATTERN.match(salt)
    return found.group(3) if found else None
