"""Finds a caller's team by its key."""

import hmac

from wigeonmill.config.model import Document
from wigeonmill.config.model import Team
from wigeonmill.keys import hash_key

_BEARER = 'bearer '


class TeamDirectory:
    """Teams by the digest of their keys; keys themselves are not held."""

    def __init__(self, document: Document) -> None:
        self._by_hash = {
            key_hash: team
            for team in document.teams
            for key_hash in team.key_hashes
        }

    def find(self, authorization: str) -> Team | None:
        """Return the team of an Authorization header's bearer key.

        The key is hashed before it is looked up, so the time taken tells
        nothing about the keys of others.
        """
        if not authorization.lower().startswith(_BEARER):
            return None
        digest = hash_key(authorization[len(_BEARER) :].strip())
        for known in self._by_hash.keys() & {digest}:
            if hmac.compare_digest(known, digest):
                return self._by_hash[known]
        return None
