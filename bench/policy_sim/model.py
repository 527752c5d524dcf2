"""Types shared by traces, simulated components and policies."""

from dataclasses import dataclass
import functools
import hashlib

from wigeonmill.cache.keys import chain_block_keys

BLOCK_TOKENS = 1024


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Speed and limits of a simulated engine.

    One prefill step computes up to `chunk_tokens`. An engine is cold until
    it has completed `warm_completions` runs.
    """

    prefill_tokens_per_s: float
    chunk_tokens: int
    step_ms: float
    step_ms_per_run: float
    cache_blocks: int
    max_batch: int
    cold_capacity: int
    warm_completions: int
    load_ms: float


@dataclass(slots=True, frozen=True)
class StoreSpec:
    """The store VMs and the link from each engine to them.

    The bandwidth of the link is `link_bytes_per_s`, of which the operators'
    budget allows `budget_bytes_per_s`.
    """

    block_bytes: int
    link_bytes_per_s: float
    budget_bytes_per_s: float
    vm_blocks: int
    latency_ms: float


@dataclass(slots=True, frozen=True)
class Fleet:
    """The engines and store VMs of one user, spread over failure domains."""

    domains: tuple[str, ...]
    engines: int
    store_vms: int
    hop_ms: float
    concurrent_loads: int
    engine: EngineSpec
    store: StoreSpec


@dataclass(slots=True, frozen=True)
class SimTeam:
    """A team and its share of the requests."""

    name: str
    share: float
    large: bool


@dataclass(slots=True, eq=False)
class SimRequest:
    """One request; `blocks` names the content of each of its full blocks."""

    id: int
    arrival_ms: float
    team: SimTeam
    kind: str
    priority: int
    blocks: tuple[str, ...]
    prompt_tokens: int
    answer_tokens: int
    deadline_ms: float
    crashes: bool = False
    resend_of: int | None = None

    def keys(self, version: str) -> tuple[bytes, ...]:
        """Return the block keys under a weight version."""
        return block_keys(self.team.name, version, self.blocks)

    @property
    def fingerprint(self) -> bytes:
        """Digest of the request; a resent request has the same one."""
        number = self.id if self.resend_of is None else self.resend_of
        text = f'{self.team.name}:{number}'
        return hashlib.blake2b(text.encode(), digest_size=16).digest()


class _NamedBlocks:
    """Tokenizer of prompts that consist of one block name per line."""

    __slots__ = ()

    def count(self, prompt: bytes) -> int:
        return len(self.split(prompt, BLOCK_TOKENS)) * BLOCK_TOKENS

    def split(self, prompt: bytes, block_tokens: int) -> list[bytes]:
        return prompt.splitlines()


_NAMED_BLOCKS = _NamedBlocks()


@functools.lru_cache(maxsize=65536)
def block_keys(
    team: str, version: str, blocks: tuple[str, ...]
) -> tuple[bytes, ...]:
    """Return the chained block keys of a prompt."""
    prompt = '\n'.join(blocks).encode()
    keys = chain_block_keys(team, version, prompt, BLOCK_TOKENS, _NAMED_BLOCKS)
    return tuple(keys)
