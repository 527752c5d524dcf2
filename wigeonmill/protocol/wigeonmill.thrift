// Messages between the processes of wigeonmill. Every message is sent inside
// an Envelope. Unless a name says otherwise, durations are in milliseconds and
// sizes in bytes.

namespace py inner

enum Kind {
  CHALLENGE = 1
  HELLO = 2
  WELCOME = 3
  OFFER_REQUEST = 10
  OFFER = 11
  RELEASE = 12
  RUN = 20
  RUN_ACCEPTED = 21
  CHUNK = 22
  RUN_END = 23
  REFUSED = 24
  CANCEL = 25
  RESUME = 26
  ACK = 27
  DETACH = 28
  CALL = 30
  CALL_REPLY = 31
  CLAIM_CALL = 32
  CLAIM_REPLY = 33
  GOSSIP = 40
  GOSSIP_REPLY = 41
  STATUS_REQUEST = 50
  STATUS = 51
  ENTRY_NEWS = 60
  ENTRY_NEWS_REPLY = 61
  STREAM_ORIGINS = 62
  STREAM_ORIGINS_REPLY = 63
  SOFTWARE_ROLLOUT = 64
  RECORD_PART = 65
  RECORD_PART_REPLY = 66
}

// First message of the accepting side: the nonce for the client's proof.
struct Challenge {
  1: binary nonce
}

// Answer of the connecting side: its proof and a nonce of its own.
struct Hello {
  1: string process
  2: string role
  3: binary nonce
  4: binary proof
}

struct Welcome {
  1: string process
  2: string role
  3: i64 incarnation
  4: binary proof
}

// Requests an agent's offer for a prompt. deadline_ms is the remaining time.
struct OfferRequest {
  1: string service_name
  2: string team
  3: string weight_version
  4: list<binary> block_keys
  5: i32 prompt_tokens
  6: i32 max_tokens
  7: i32 priority
  8: i64 deadline_ms
  9: binary fingerprint
  10: bool reserve = true
  11: i32 team_weight = 1
}

// The agent's answer: a reservation with the expected times, or a refusal.
// crash_record is what the agent knows of crashes caused by this request.
struct Offer {
  1: string refusal
  2: i64 retry_after_ms
  3: i64 reservation
  4: i32 cached_tokens
  5: i32 fetchable_tokens
  6: double expected_wait_ms
  7: double expected_first_token_ms
  8: binary crash_record
}

struct Release {
  1: i64 reservation
}

// Starts a run. body is the caller's request, as JSON for the engine.
struct Run {
  1: i64 reservation
  2: string service_name
  3: string team
  4: string weight_version
  5: list<binary> block_keys
  6: i32 prompt_tokens
  7: i32 max_tokens
  8: i32 priority
  9: i64 deadline_ms
  10: binary fingerprint
  11: binary body
  12: string request_id
  13: i32 team_weight = 1
  14: list<binary> crash_records
}

struct RunAccepted {
  1: string run_id
  2: string weight_version
  3: i32 cached_tokens
}

// Part of an answer; offset is the number of bytes of UTF-8 text before it.
struct Chunk {
  1: string run_id
  2: i64 offset
  3: binary text
  4: i32 tokens
}

// Ends an answer. length is the length of the whole text; digest (SHA-256)
// covers the text from its start, or from the digest_from of a Resume.
struct RunEnd {
  1: string run_id
  2: i64 length
  3: binary digest
  4: string finish_reason
  5: i32 prompt_tokens
  6: i32 answer_tokens
  7: i32 cached_tokens
}

// Refuses a request; not_run says that the target did not receive it.
struct Refused {
  1: string reason
  2: string message
  3: i64 retry_after_ms
  4: bool not_run
  5: binary crash_record
}

struct Cancel {
  1: string run_id
}

// Requests the rest of an answer from a byte offset, for the same team. The
// digest in the RunEnd covers the text from digest_from on.
struct Resume {
  1: string run_id
  2: string team
  3: i64 offset
  4: i64 digest_from = 0
}

struct Ack {
  1: string run_id
  2: i64 offset
}

struct Header {
  1: string name
  2: string value
}

// A call of a plain service. claim is set if it must run at most once.
struct Call {
  1: string service_name
  2: string team
  3: string method
  4: string path
  5: list<Header> headers
  6: binary body
  7: i64 deadline_ms
  8: string claim
  9: string request_id
  10: i32 team_weight = 1
}

struct CallReply {
  1: i32 status
  2: list<Header> headers
  3: binary body
  4: binary digest
}

// Request to the owner of a claim shard, encoded by the claims package.
struct ClaimCall {
  1: binary request
}

struct ClaimReply {
  1: binary reply
}

// State of one process as reported by another or by itself. Reports on the
// same process are ordered by incarnation, heartbeat and state, which is 0 for
// alive, 1 for suspect, 2 for dead and 3 for left.
struct MemberState {
  1: string name
  2: string role
  3: string address
  4: string failure_domain
  5: i64 incarnation
  6: i64 heartbeat
  7: i32 state
  8: i64 config_serial
  9: string region
  10: string target
}

struct SectionHash {
  1: string section
  2: binary hash
}

struct SectionValue {
  1: string section
  2: binary value
}

// A VM that the VM list shows as leaving; address is its IP address.
struct LeavingVm {
  1: string name
  2: string address
}

// A push-pull exchange; the answer has the same format. members starts with
// the sender's own state. section_hashes are sent with want_config, and
// config_meta and sections in the answer to it.
struct Gossip {
  1: string sender
  2: list<MemberState> members
  4: list<SectionHash> section_hashes
  5: list<SectionValue> sections
  6: binary config_meta
  7: i64 view_digest
  8: i64 config_age_ms
  9: i64 vm_revision
  10: list<LeavingVm> leaving_vms
  11: bool want_config
  12: bool want_members
}

struct StatusRequest {
  1: bool members
  2: bool metrics
}

struct Status {
  1: string process
  2: string role
  3: i64 config_serial
  4: list<MemberState> members
  5: string metrics
}

// A key of the platform's key-value service, as of its last known change.
struct StoreRecord {
  1: string key
  2: i64 revision
  3: bool removed
  4: binary value
}

// An entry's open requests at a target. By priority, tokens is the memory that
// they take, in tokens, and waiting_tokens the part of their prompts that is
// still to be processed. pace_percent is the time that work takes there, in
// percent of the usual, as the target stated it to the sender pace_age_ms ago.
struct OpenWork {
  1: string target
  2: i32 runs
  3: list<i64> tokens
  4: list<i64> waiting_tokens
  5: optional i32 pace_percent
  6: optional i32 pace_age_ms
}

// A lifetime of a target that the sender, or an entry known to it, suspects.
// silent_ms is for how long it has sent the sender nothing that it waits for;
// heard_ms is how long ago it sent the sender something.
struct TargetSilence {
  1: string target
  2: i64 started_at_ms
  3: optional i32 silent_ms
  4: optional i32 heard_ms
}

// The loss of a target, identified with its start, while it ran a request or
// several equal ones. age_ms is the time since then, and ran_ms is for how long
// the lost run had lasted. Older entries name a request's id and the target.
struct TargetLoss {
  1: binary fingerprint
  2: string loss
  3: optional i32 age_ms
  4: optional i32 ran_ms
}

// A request that was served age_ms ago, after it was lost with a target.
struct ServedRequest {
  1: binary fingerprint
  2: i32 age_ms
}

// How a run ended on prompt parts, which are identified by their keys: its
// target was lost, or served it if lifetime is empty. lifetime identifies the
// target and its start, age_ms is the time since then, and ran_ms is for how
// long the lost run had lasted.
struct PartOutcome {
  1: list<binary> parts
  2: string lifetime
  3: i32 age_ms
  4: optional i32 ran_ms
}

// Prompt parts that no request must have in common, because they crash
// targets. age_ms is the time since the quarantine began, and probe_sent is
// set once an entry has sent a request with them since.
struct PartQuarantine {
  1: list<binary> parts
  2: i32 age_ms
  3: optional bool probe_sent
}

// What a target, identified with its start, stated to the sender: the requests
// per second that it accepts from all entries, or no limit without per_s. It
// was stated between the times that are sent_ms_ago and read_ms_ago ago.
struct LimitNotice {
  1: string target
  2: i64 started_at_ms
  3: optional double per_s
  4: i64 sent_ms_ago
  5: i64 read_ms_ago
}

// A target, identified with its start, that stated to the sender that it
// leaves.
struct LeavingTarget {
  1: string target
  2: i64 started_at_ms
}

// Position up to which the sender knows the contents of a cache store: the
// event number next, counted from the store start that boot identifies. The
// sender requests the later events.
struct CachePoint {
  1: string store
  2: i64 boot
  3: i64 next
}

// A part that a cache store holds completely, or no longer holds.
struct CachePart {
  1: bool held
  2: string salt
  3: string part
  4: i32 tokens
}

// Events of a cache store after the requested position, complete up to next.
// age_ms is the time since the store was queried, and clock_ms the store's
// clock at that time.
struct CacheUpdate {
  1: string store
  2: i64 boot
  3: i64 next
  4: i64 clock_ms
  5: double age_ms
  6: list<CachePart> parts
}

// What a team has asked for at a service, and what it was served, in requests
// or in tokens. Both halve every two seconds.
struct ServedWork {
  1: string service_name
  2: string team
  3: i64 asked
  4: i64 served
}

// What an entry claims of the limits of a service that all have in common,
// as a multiple of 1/16 of the mean demand, and its recent requests for it.
// Sent in answers only; the sender uses no larger claim for four seconds.
struct DemandClaim {
  1: string service_name
  2: i32 amount
  3: i64 requests
}

// Answers to requests of a route since an order, failures and slow answers
// among them. target is empty for the old versions, which also have medians of
// the times to the first piece and to the end, and of how many answers.
struct VersionCount {
  1: string route
  2: string target
  3: i64 answers
  4: i64 failed
  5: i64 slow
  6: optional i64 times
  7: optional double first_ms
  8: optional double whole_ms
}

// What an entry knows of the rollout of a software version: its own counts,
// which only rise, or that the version is bad. order is the revision of the
// operators' order, reporter identifies the sender's process.
struct RolloutReport {
  1: string service_name
  2: i64 order
  3: string reporter
  4: bool bad
  5: list<VersionCount> counts
}

// A part of a large record of the key-value service, encoded with zlib. A
// request names the record, the revision of the record that the sender has
// (basis, 0: none) and the offset of the part. The answer has the data from
// there, the size of the whole, its digest, and the basis that it is encoded
// against; or a refusal. In EntryNews, size is that of the value.
struct RecordPart {
  1: string sender
  2: string key
  3: i64 revision
  4: i64 store_era
  5: i64 basis
  6: i64 offset
  7: optional i64 size
  8: optional binary digest
  9: optional binary data
  10: optional string refusal
}

// An update from one entry to another. known_to is the revision up to which
// the sender knows every change of the key-value service. The answer holds the
// records after the requester's known_to, complete up to records_to. With
// listing, they are all present records, because some removals after known_to
// are no longer kept. copy_age_ms is the time since the sender's copy of the
// key-value service was known to be complete up to its known_to. All revisions
// are of the era store_era; older entries, which know no eras, do not send it.
// If the requester sets records_apart, large records are only named in
// large_records, and the requester gets them by RECORD_PART.
struct EntryNews {
  1: string sender
  2: i64 known_to
  3: list<OpenWork> open_work
  4: list<TargetLoss> losses
  5: list<StoreRecord> records
  6: i64 records_to
  7: list<CachePoint> cache_points
  8: list<CacheUpdate> cache_updates
  9: optional bool listing
  10: optional double copy_age_ms
  11: optional list<PartOutcome> part_outcomes
  12: optional list<PartQuarantine> part_quarantines
  13: optional list<LimitNotice> limits
  14: optional list<RolloutReport> rollouts
  15: optional list<TargetSilence> silences
  20: optional list<LeavingTarget> leaving
  18: optional string failure_domain
  16: optional list<ServedWork> served_work
  17: optional list<DemandClaim> demand_claims
  21: optional i64 store_era
  22: optional bool records_apart
  23: optional list<RecordPart> large_records
  24: optional list<ServedRequest> served_requests
}

// The target that a request's stream was sent to, to begin there. The target's
// start identifies the lifetime that began the stream. The sender is authority
// if it sent the stream there itself.
struct StreamOrigin {
  1: string request
  2: string service_name
  3: string software_version
  4: string target
  5: i64 started_at_ms
  6: optional i32 number
  7: optional bool authority
}

// Origins of streams. The receiver keeps those in begun, unless it has a later
// one of the same request by their numbers. It answers with those that it knows of the
// requests in wanted; without any in wanted there is no answer.
struct StreamOrigins {
  1: string sender
  2: list<StreamOrigin> begun
  3: list<string> wanted
}

// The only message type on the wire. stream matches answers to requests;
// config_serial is the serial of the sender's configuration (0: none).
struct Envelope {
  1: Kind kind
  2: i64 stream
  3: i64 config_serial
  10: optional Challenge challenge
  11: optional Hello hello
  12: optional Welcome welcome
  13: optional OfferRequest offer_request
  14: optional Offer offer
  15: optional Release release
  16: optional Run run
  17: optional RunAccepted run_accepted
  18: optional Chunk chunk
  19: optional RunEnd run_end
  20: optional Refused refused
  21: optional Cancel cancel
  22: optional Resume resume
  23: optional Ack ack
  24: optional Call call
  25: optional CallReply call_reply
  29: optional ClaimCall claim_call
  30: optional ClaimReply claim_reply
  26: optional Gossip gossip
  27: optional StatusRequest status_request
  28: optional Status status
  31: optional EntryNews entry_news
  32: optional StreamOrigins stream_origins
  33: optional RecordPart record_part
}
