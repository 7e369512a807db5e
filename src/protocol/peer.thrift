// Messages between kumquatd processes. Each is sent as one Frame: a 4-byte
// big-endian length, followed by the Frame in Thrift's compact protocol.
//
// Times in messages are durations, in microseconds unless the field's name says
// otherwise. They are never points in time, because the clocks of different
// hosts are not compared with each other.

namespace cpp kumquat.protocol

// One run of a host's process. Each restart has a new incarnation.
struct HostRef {
  1: string host
  2: i64 incarnation
}

struct Header {
  1: string name
  2: string value
}

// The first frame in each direction on a new connection.
struct Hello {
  1: HostRef sender
  2: string dataCentre
  // The sender reads compressed frames.
  3: bool readsCompressed
}

// A heartbeat: a host asks a guard, one of the hosts that confirm its lease, to
// confirm it again.
struct ConfirmRequest {
  1: HostRef holder
  2: i64 guardIncarnation
}

struct ConfirmReply {
  1: bool confirmed
}

// A host that wants to depose `holder` (end its lease) asks a guard to stop
// confirming it.
struct ReleaseRequest {
  1: HostRef holder
  2: i64 guardIncarnation
}

struct ReleaseReply {
  1: bool released
  // How long the guard's last confirmation may still be valid.
  2: i64 remainingMicros
}

struct UpstreamRef {
  1: string serviceName
  2: string upstream
}

// A caller's request, forwarded to the steward of an upstream: the host that
// counts the upstream's slots and sends it requests.
struct Forward {
  1: HostRef sender
  2: string serviceName
  3: string key
  4: string idempotencyKey
  5: i64 remainingMicros
  6: string method
  7: string target
  8: list<Header> headers
  9: binary body
  10: UpstreamRef upstream
  11: i32 hops
  // Set if `sender` owns the slice (range of key hashes) that the idempotency
  // key is in.
  12: i64 ownerEpoch
  // The epoch of the upstream's stewardship in the sender's map. The steward
  // refuses the request if it is outdated.
  13: i64 stewardEpoch
}

// The number of free slots of an upstream, as counted by its steward.
struct SlotDigest {
  1: UpstreamRef upstream
  2: i32 freeSlots
  3: i32 queued
  4: i64 stewardEpoch
  // All requests that the steward sends to the upstream fail.
  5: bool lost
}

struct ForwardReply {
  // An ErrorKind; 0 means that the upstream responded.
  1: i32 error
  2: i32 status
  3: list<Header> headers
  4: binary body
  5: list<SlotDigest> digests
  6: i64 retryAfterMicros
  // Set if this steward has no free slot and this other upstream may have one.
  // It is tried once.
  7: optional UpstreamRef redirect
  // The rest of the body follows in BodyPart frames with the same correlation.
  8: bool more
  // Length of the full body in bytes, if known.
  9: optional i64 length
  // The reply does not come from the owner of the idempotency key: the sender
  // does not know whether an earlier request with the key has run.
  10: bool keyUnknown
}

struct BodyPart {
  1: binary data
  2: bool last
  // An ErrorKind: the body is truncated here. 0 if it is not.
  3: i32 error
}

// Flow control: the receiver of a streamed body allows the sender to send that
// many more bytes.
struct BodyCredit {
  1: i64 bytes
}

struct CancelForward {
  1: HostRef sender
}

struct Digests {
  1: list<SlotDigest> digests
}

// Reports an idempotency key to a witness (a host that records the keys of
// another) before the key's request is dispatched.
struct WitnessNote {
  1: HostRef owner
  2: string serviceName
  3: string idempotencyKey
  4: i64 ownerEpoch
}

struct WitnessReply {
  1: bool noted
}

// The new owner of a slice asks a host for the keys of all requests that were
// forwarded to `predecessor`, reported by it or run for it. The host that
// replies also fences the predecessor: it accepts nothing more from it.
struct CollectRequest {
  // With an empty host, the slice moved from a host that is alive, and only
  // older epochs are fenced.
  1: HostRef predecessor
  2: string serviceName
  // The range of key hashes that the successor took over, to be read as
  // unsigned numbers.
  3: i64 first
  4: i64 last
  // The successor's epoch. From now on, forwards in the range with a lower one
  // are refused.
  5: i64 epoch
}

struct CollectReply {
  1: bool complete
  // Not used: keyHashes holds the same information in fewer bytes.
  2: list<string> idempotencyKeys
  // The 64-bit hashes of all known keys in the range, whichever host owned
  // them.
  3: list<i64> keyHashes
  // The host that replies, with its incarnation: a restarted host has none of
  // the keys that its earlier run knew.
  4: HostRef witness
  // The witness owned the range until now and knows every key that may have
  // run, so the successor needs no other host's reply.
  5: bool wasOwner
}

// A row of the table that changed. The receiver keeps the row with the highest
// version.
struct RowChange {
  1: string partition
  2: string name
  3: i64 version
  4: string body
  5: bool removed
}

struct MapChange {
  1: list<RowChange> rows
}

struct ConfigurationOffer {
  1: i64 version
  2: string text
}

// Reports the version that is active at the sender, and asks for any higher
// one.
struct ConfigurationQuery {
  1: i64 knownVersion
  // The sum of the versions of all place rows (data centres or hosts out of
  // service) that the sender has applied. Every write to any of them raises it.
  2: i64 knownPlaces
}

// Hands a stewardship over at a planned stop, with the exact number of running
// requests.
struct HandOver {
  1: UpstreamRef upstream
  2: i64 stewardEpoch
  3: i32 running
  4: i32 allowedSlots
}

struct HandOverReply {
  1: bool accepted
}

// A planner asks the steward of the upstream that owns a slice to end that
// upstream's grant, so that the table may name another owner.
struct RevokeSlice {
  1: UpstreamRef upstream
  2: i64 stewardEpoch
  3: string part
  4: i64 sliceEpoch
}

struct RevokeSliceReply {
  // The grant is certain to have ended everywhere.
  1: bool revoked
}

struct Leaving {
  1: HostRef sender
}

// A host's use of an upstream: the requests that it has running there, and how
// long those took that ended with a response since the host's last digest.
struct UpstreamUse {
  1: string upstream
  2: i32 running
  3: i32 answers
  // Mean time of one request, without its wait for a slot; that of a typical one
  // if the service's routes have unlike targets.
  4: i32 serviceMicros
  // Number of requests that wait at the host for this upstream, because it
  // alone owns their keys.
  5: i32 waiting
}

// The keys of a service that callers asked a host for since its last digest. If
// there were many, only a sample.
struct KeyUse {
  1: string serviceName
  2: list<i32> keys
}

// The version of the key map of a service that a host uses: the version of the
// stored assignment, and as its revision the number of steps (leases granted or
// expired) that the assigner has taken since.
struct KeyMapMark {
  1: string serviceName
  2: i64 version
  3: i64 step
  4: HostRef assigner
  // Number of the last digest that the sender received from that incarnation of
  // the assigner.
  5: i64 heard
}

// What an owner of keys took for the requests of a host since the host's last
// report to the assigner.
struct OwnerTime {
  1: string upstream
  2: i32 answers
  // Mean time of one request, without its wait for a slot as far as known.
  3: i32 serviceMicros
}

// What requests of a route take relative to a typical one of the service, by
// the responses that a host got since its last digest: see WorkTimes in
// src/routing.
struct RouteWork {
  1: string serviceName
  2: string route
  // In millionths of a typical request.
  3: i32 workMillionths
  4: i32 answers
}

// The digest that a host sends to others a few times per second. The members of
// its cell (a group of some ten hosts) get all of it. Without `uses` it is also
// sent by and to hubs (hosts that all others connect to), and to assigners.
struct HostDigest {
  1: HostRef sender
  2: bool leaving
  3: list<UpstreamUse> uses
  // Versions of this host's replicas of the store's tables.
  4: i64 operatorVersion
  5: i64 upstreamVersion
  6: list<KeyMapMark> keyMaps
  // Only in digests to the assigner of the service.
  7: list<KeyUse> keyUses
  // Counts the digests of the sender's incarnation.
  8: i64 number
  // The store responds to this host, or this host did not call it.
  9: bool reachesStore
  10: i64 hostsVersion
  // This host lends the teams' quotas.
  11: bool lendsQuotas
  // keyMaps has only the parts that the sender or the receiver assigns; for the
  // others the previous digests hold.
  12: bool keyMapsPartial
  // The sender has its links to upstreams, and relays connections to them.
  13: bool offersRelays
  // The sender takes requests for the owners whose proxy it is; see
  // ProxyRequest.
  14: bool takesProxied
  // Only in digests to the assigner of the upstreams' keys, which counts no
  // response twice, as it takes paces from here and not from `uses`.
  15: list<OwnerTime> ownerTimes
  // Only with `uses`, and only of services whose routes have unlike targets.
  16: list<RouteWork> routeWorks
  // The sender's clock; see PeerDelays in src/node.
  17: i64 sentMicros
}

struct KeyRange {
  1: i32 first
  2: i32 last
  // Empty while no upstream may be sent these keys.
  3: string upstream
}

// The map of a service's keys to upstreams, sent by the service's assigner.
struct KeyMapUpdate {
  1: KeyMapMark mark
  // All ranges; if base is set, only those that differ from the map of that
  // version.
  2: list<KeyRange> ranges
  3: optional KeyMapMark base
}

// Asks for the receiver's replica of a table of the store: the changes after a
// version, or the full table if that is 0 or too long ago.
struct TableQuery {
  1: string table
  2: i64 after
}

// A row as it is in the store, or as it was when it was removed (a tombstone).
struct TableRow {
  1: string key
  2: binary value
  3: i64 version
  4: bool removed
}

// Changes of a table. Sent by a host that follows the table at the store to
// those members of its cell that do not, or to a host that has asked for them.
struct TableChange {
  1: string table
  // The changes are those after this version of the table. A receiver whose
  // replica is older ignores them, because it would miss changes.
  2: i64 after
  3: list<TableRow> rows
  // How long the receiver may still use a removed row as if it were present.
  4: i32 graceMs
}

struct TableCopy {
  1: string table
  2: i64 version
  3: list<TableRow> rows
}

// What a host needs of a team's quota: see QuotaDemand in src/admission.
struct QuotaDemand {
  1: string team
  2: i32 stock
  3: i32 needed
  4: i32 wanted
  // Requests per 1000 seconds.
  5: i32 perKilosecond
  6: i32 shareMillionths
}

// Asks the lender of the teams' quotas for tokens.
struct QuotaAsk {
  1: i64 number
  2: i64 lastReply
  3: list<QuotaDemand> demands
  4: i32 sinceLastGrantMs
  5: bool hasShares
}

struct QuotaGrant {
  1: string team
  2: i32 tokens
  // Millionths of the team's rate.
  3: i32 shareMillionths
  4: i32 untilNextMs
}

struct QuotaReply {
  1: i64 number
  2: bool lending
  3: list<QuotaGrant> grants
}

struct UpstreamEnd {
  1: string upstream
  2: i32 agoMs
}

// A request under which upstreams have ended: see CrashReport in src/routing.
struct CrashReport {
  1: i64 key
  2: i64 hashHigh
  3: i64 hashLow
  4: list<UpstreamEnd> ends
}

// What an upstream said last about its limit: see UpstreamLimit in src/routing.
struct UpstreamLimit {
  1: string upstream
  // Requests per 1000 seconds; not set if it names no limit any more.
  2: optional i64 perKilosecond
  3: i32 saidAgoMs
}

// A rest that an upstream has asked a host for: see UpstreamRest in src/routing.
struct UpstreamRest {
  1: string upstream
  2: string host
  3: i32 lengthMs
  4: i32 leftMs
}

// An incarnation of an upstream that has said that it leaves.
struct UpstreamLeaving {
  1: string upstream
  2: i64 startedMs
}

// What a host has learned from an upstream and all hosts have to know at once.
// Sent to all connected hosts, and all that is known to one that has just
// connected.
struct Notices {
  // The key of the sender's crash reports.
  1: i64 key
  2: list<CrashReport> crashes
  // A hub that receives it forwards it to the hosts that are assigned to it.
  3: bool forward
  4: list<UpstreamLimit> limits
  // Also sent alone, to hosts that assign the upstream's keys.
  5: list<UpstreamRest> rests
  6: list<UpstreamLeaving> leaving
}

// A caller's request, passed to the host that queues and sends the cell's
// requests for an upstream: see ProxiedRequests in src/routing.
struct ProxyRequest {
  // Counts the sender's requests; replies and cancellations name it.
  1: i64 number
  2: string id
  3: string hostName
  4: i32 key
  5: string method
  6: string target
  7: list<Header> headers
  // Since the request arrived at the sender.
  8: i64 ageMicros
  // From its arrival on.
  9: i32 timeoutMs
  // Version of the configuration that the sender uses.
  10: i64 configuration
  11: i32 earlierRuns
  // The sender's clock; see PeerDelays in src/node.
  12: i64 sentMicros
}

struct ProxyReply {
  1: i64 number
  // The request was not taken and will not run; nothing else is set.
  2: bool declined
  // An ErrorKind; 0 if an upstream has responded.
  3: i32 error
  4: i32 status
  5: list<Header> headers
  6: binary body
  // 0 if there is none.
  7: i32 retryAfterMs
  // The upstream's response is too large to pass on.
  8: bool tooLarge
}

// The caller has left.
struct ProxyCancel {
  1: i64 number
}

// Another frame, as zlib compresses its bytes.
struct CompressedFrame {
  1: binary bytes
  2: i32 plainSize
}

// Exactly one of the optional fields is set.
struct Frame {
  1: i64 correlation
  2: bool reply
  3: optional CompressedFrame compressed
  10: optional Hello hello
  11: optional ConfirmRequest confirmRequest
  12: optional ConfirmReply confirmReply
  13: optional ReleaseRequest releaseRequest
  14: optional ReleaseReply releaseReply
  15: optional Forward forward
  16: optional ForwardReply forwardReply
  17: optional BodyPart bodyPart
  18: optional BodyCredit bodyCredit
  19: optional CancelForward cancelForward
  20: optional Digests digests
  21: optional WitnessNote witnessNote
  22: optional WitnessReply witnessReply
  23: optional CollectRequest collectRequest
  24: optional CollectReply collectReply
  25: optional MapChange mapChange
  26: optional ConfigurationOffer configurationOffer
  27: optional ConfigurationQuery configurationQuery
  28: optional HandOver handOver
  29: optional HandOverReply handOverReply
  30: optional Leaving leaving
  31: optional RevokeSlice revokeSlice
  32: optional RevokeSliceReply revokeSliceReply
  33: optional HostDigest hostDigest
  34: optional KeyMapUpdate keyMapUpdate
  35: optional TableQuery tableQuery
  36: optional TableCopy tableCopy
  37: optional TableChange tableChange
  38: optional QuotaAsk quotaAsk
  39: optional QuotaReply quotaReply
  40: optional Notices notices
  41: optional ProxyRequest proxyRequest
  42: optional ProxyReply proxyReply
  43: optional ProxyCancel proxyCancel
}
