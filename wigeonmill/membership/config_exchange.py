"""Exchanges the configuration between peers section by section."""

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
    """The result of fetching the configuration from a peer."""

    ADOPTED = 'adopted'
    NOTHING_NEWER = 'nothing_newer'
    # The sections are inconsistent; all of them have to be fetched.
    BROKEN = 'broken'


class ConfigExchange:
    """Requests, serves and adopts sections of the record in force."""

    __slots__ = ('_holder', '_metrics')

    def __init__(self, holder: ConfigHolder, metrics: Metrics) -> None:
        self._holder = holder
        self._metrics = metrics

    def fill_request(self, message: Gossip, whole: bool) -> None:
        """Make `message` a request; `whole` requests every section."""
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
        """Add the sections that a peer at `serial` lacks to `reply`."""
        sections = self._holder.sections
        if sections is None or serial >= self._holder.serial:
            return
        known = {h.section: h.hash for h in req.section_hashes or []}
        changed = sections.changed(known)
        reply.config_meta = sections.encode_meta()
        reply.sections = [SectionValue(s.name, s.value) for s in changed]
        self._metrics.count('config_sections_sent', by=len(changed))

    def apply_reply(self, reply: Gossip, whole: bool) -> PullResult:
        """Adopt the record in a reply if it is newer and consistent."""
        if not reply.config_meta:
            return PullResult.NOTHING_NEWER
        meta = decode_meta(reply.config_meta)
        if meta.is_err():
            self._metrics.count('config_refused', 'malformed')
            return PullResult.BROKEN
        if meta.unwrap().serial <= self._holder.serial:
            return PullResult.NOTHING_NEWER
        received = [
            Section(value.section or '', value.value or b'')
            for value in reply.sections or []
        ]
        base: SectionSet | None = None if whole else self._holder.sections
        record = apply_sections(base, meta.unwrap(), received)
        if record.is_err():
            self._metrics.count('config_refused', 'sections')
            return PullResult.BROKEN
        self._metrics.count('config_sections_taken', by=len(received))
        self._holder.adopt(record.unwrap())
        return PullResult.ADOPTED
