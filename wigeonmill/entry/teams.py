"""Authenticates callers: finds the team that a bearer key belongs to."""

import hmac

from wigeonmill.config.model import Document
from wigeonmill.config.model import Team
from wigeonmill.keys import hash_key

_BEARER = 'bearer '


class TeamDirectory:
    """Teams by the hash of their keys; the keys themselves are not stored."""

    def __init__(self, document: Document) -> None:
        self._by_hash = {
            key_hash: team
            for team in document.teams
            for key_hash in team.key_hashes
        }

    def find(self, authorization: str) -> Team | None:
        """Return the team for the bearer key of an Authorization header.

        The key is hashed before the lookup, so the time that the lookup takes
        reveals nothing about other keys.
        """
        if not authorization.lower().startswith(_BEARER):
            return None
        digest = hash_key(authorization[len(_BEARER) :].strip())
        for known_hash in self._by_hash.keys() & {digest}:
            if hmac.compare_digest(known_hash, digest):
                return self._by_hash[known_hash]
        return None
