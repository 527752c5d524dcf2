"""The messages of the stand-in engine's HTTP interface."""

import enum

import msgspec


class EngineState(enum.Enum):
    """Whether an engine is cold after a start, warm or loading weights."""

    COLD = 'cold'
    WARM = 'warm'
    LOADING = 'loading'


class EngineRole(enum.Enum):
    """Which phases of a request an engine serves."""

    GENERAL = 'general'
    PREFILL = 'prefill'
    DECODE = 'decode'


class TextPart(msgspec.Struct):
    """A text part of a chat message."""

    text: str
    type: str = 'text'


class ChatMessage(msgspec.Struct):
    """A chat message with plain text or text parts."""

    role: str
    content: str | list[TextPart]


class CompletionRequest(msgspec.Struct):
    """A request of OpenAI's API with further fields of the engine.

    Either `prompt` or `messages` is set. `kv_block_keys` are the keys of
    the prompt's complete blocks in hex, in order. If `prompt_tokens` is 0,
    the engine estimates it. Requests of a higher `priority` run first.
    """

    model: str = ''
    prompt: str = ''
    messages: list[ChatMessage] = []
    max_tokens: int = 16
    stream: bool = False
    request_id: str = ''
    weight_version: str = ''
    kv_block_keys: list[str] = []
    prompt_tokens: int = 0
    priority: int = 0


class CachedDetails(msgspec.Struct):
    """The part of the prompt that the prefix cache held."""

    cached_tokens: int


class Usage(msgspec.Struct):
    """Token counts of one request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: CachedDetails


class Delta(msgspec.Struct, omit_defaults=True):
    """A part of a streamed chat answer."""

    content: str = ''
    role: str = ''


class Choice(msgspec.Struct, omit_defaults=True):
    """A part of a streamed answer, or a whole answer."""

    index: int
    text: str | None = None
    delta: Delta | None = None
    message: ChatMessage | None = None
    finish_reason: str | None = None


class Completion(msgspec.Struct, omit_defaults=True):
    """A streamed chunk or a whole answer.

    `offset` is the number of answer tokens up to the end of this chunk;
    a stream is resumed from it. Only the last chunk carries `usage`.
    """

    id: str
    object: str
    created: int
    model: str
    choices: list[Choice]
    offset: int = 0
    weight_version: str = ''
    usage: Usage | None = None


class Cancelled(msgspec.Struct):
    """Whether a request was still open when it was cancelled."""

    request_id: str
    cancelled: bool


class EngineHealth(msgspec.Struct):
    """The reply to an engine's health check."""

    incarnation: str
    uptime_ms: int
    model: str
    weight_version: str
    adapters: list[str]
    role: EngineRole
    state: EngineState
    last_load_error: str = ''


class EngineLoad(msgspec.Struct):
    """An engine's load as it was at `as_of_ms` of its uptime."""

    as_of_ms: int
    running: int
    waiting: int
    cached_blocks: int
    cache_blocks: int


class Fencing(msgspec.Struct, order=True, frozen=True):
    """The fencing token of an order; a higher one supersedes a lower one."""

    revision: int
    order: int


class LoadOrder(msgspec.Struct):
    """Tells an engine which model and version to serve."""

    model: str
    weight_version: str
    fencing: Fencing
    adapters: list[str] = []


class RoleOrder(msgspec.Struct):
    """Tells an engine which role to take."""

    role: EngineRole
    fencing: Fencing


class CacheEventKind(enum.Enum):
    """What happened to a block in the prefix cache."""

    STORED = 'stored'
    EVICTED = 'evicted'


class CacheEvent(msgspec.Struct):
    """One numbered change of the prefix cache."""

    sequence: int
    kind: CacheEventKind
    block_key: str


class CacheEvents(msgspec.Struct):
    """Events from a sequence number on; `next` is the next one to ask for.

    An event whose number is below `next` and missing in `events` was lost.
    """

    incarnation: str
    events: list[CacheEvent]
    next: int


class CacheListing(msgspec.Struct):
    """The cache's content; later events start at `sequence`."""

    incarnation: str
    sequence: int
    block_keys: list[str]


class RequestRecord(msgspec.Struct):
    """One request as the audit lists it; `outcome` is a RunState value.

    `open_when_cold` is the number of open requests at its arrival if the
    engine was cold, else 0. Times are in ms of the wall clock.
    """

    request_id: str
    weight_version: str
    started_ms: int
    finished_ms: int
    outcome: str
    open_when_cold: int
    prompt_tokens: int
    cached_tokens: int
    answer_tokens: int
    priority: int


class EngineAudit(msgspec.Struct):
    """What an engine has recorded since its process started.

    A tainted read is a run that used a block with foreign, altered or
    short content; its answer is wrong on purpose.
    """

    requests: list[RequestRecord] = []
    incarnations: int = 0
    crashes: int = 0
    cold_overloads: int = 0
    version_mismatches: int = 0
    exports: dict[str, int] = {}
    imports: dict[str, int] = {}
    foreign_imports: int = 0
    corrupt_imports: int = 0
    stale_version_imports: int = 0
    tainted_reads: int = 0
    loads: list[LoadOrder] = []
    stale_orders_refused: int = 0
    stale_orders_applied: int = 0
    prompt_tokens: int = 0
    computed_prompt_tokens: int = 0
