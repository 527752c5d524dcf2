"""Carries configuration between peers by section, checked on arrival."""

import enum

from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.sections import apply_sections
from wigeonmill.config.sections import decode_meta
from wigeonmill.config.sections import Section
from wigeonmill.config.sections import SectionSet
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.gen.inner.ttypes import Gossip
from wigeonmill.protocol.gen.inner.ttypes import SectionHash
from wigeonmill.protocol.gen.inner.ttypes import SectionValue


class PullResult(enum.Enum):
    """What a peer's answer to a request for configuration brought."""

    ADOPTED = 'adopted'
    NOTHING_NEWER = 'nothing_newer'
    # The sections do not fit together: ask for all of them.
    BROKEN = 'broken'


class ConfigExchange:
    """Asks for, gives and takes the sections of the record in force."""

    __slots__ = ('_holder', '_metrics')

    def __init__(self, holder: ConfigHolder, metrics: Metrics) -> None:
        self._holder = holder
        self._metrics = metrics

    def fill_request(self, message: Gossip, whole: bool) -> None:
        """Make `message` a request; `whole` asks for every section."""
        message.want_config = True
        sections = self._holder.sections
        if whole or sections is None:
            message.section_hashes = []
            return
        message.section_hashes = [
            SectionHash(name, digest)
            for name, digest in sections.hashes.items()
        ]

    def fill_reply(self, req: Gossip, serial: int, reply: Gossip) -> None:
        """Add what a peer at `serial` lacks to `reply`."""
        sections = self._holder.sections
        if sections is None or serial >= self._holder.serial:
            return
        known = {h.section: h.hash for h in req.section_hashes or []}
        changed = sections.changed(known)
        reply.config_meta = sections.encode_meta()
        reply.sections = [SectionValue(s.name, s.value) for s in changed]
        self._metrics.count('config_sections_sent', by=len(changed))

    def apply_reply(self, reply: Gossip, whole: bool) -> PullResult:
        """Put the record in an answer in force if it is newer and whole."""
        if not reply.config_meta:
            return PullResult.NOTHING_NEWER
        meta = decode_meta(reply.config_meta)
        if meta.is_err():
            self._metrics.count('config_refused', 'malformed')
            return PullResult.BROKEN
        if meta.unwrap().serial <= self._holder.serial:
            return PullResult.NOTHING_NEWER
        given = [
            Section(value.section or '', value.value or b'')
            for value in reply.sections or []
        ]
        base: SectionSet | None = None if whole else self._holder.sections
        record = apply_sections(base, meta.unwrap(), given)
        if record.is_err():
            self._metrics.count('config_refused', 'sections')
            return PullResult.BROKEN
        self._metrics.count('config_sections_taken', by=len(given))
        self._holder.adopt(record.unwrap())
        return PullResult.ADOPTED
