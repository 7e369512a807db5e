// Messages between kumquatd processes. Each travels as one Frame, encoded with
// Thrift's compact protocol, behind a 4-byte big-endian length.
//
// Times on the wire are durations in microseconds, never points in time: the
// hosts' clocks are not compared with each other.

namespace cpp kumquat.protocol

// A host as one process run: a restart gives a new incarnation.
struct HostRef {
  1: string host
  2: i64 incarnation
}

struct Header {
  1: string name
  2: string value
}

// First frame in each direction on a new connection.
struct Hello {
  1: HostRef sender
  2: string dataCentre
}

// A lease holder asks a guard to confirm it (its heartbeat).
struct ConfirmRequest {
  1: HostRef holder
  2: i64 guardIncarnation
}

struct ConfirmReply {
  1: bool confirmed
}

// A host that wants to depose `holder` asks a guard to stop confirming it.
struct ReleaseRequest {
  1: HostRef holder
  2: i64 guardIncarnation
}

struct ReleaseReply {
  1: bool released
  // How long the guard's last confirmation may still be relied on.
  2: i64 remainingMicros
}

struct UpstreamRef {
  1: string serviceName
  2: string upstream
}

// One caller's request on its way to the steward of an upstream.
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
  // Set where `sender` owns the idempotency key's slice.
  12: i64 ownerEpoch
  // What the map of the sender says of the upstream: a stale one is refused.
  13: i64 stewardEpoch
}

// Free slots of one upstream, counted by its steward.
struct SlotDigest {
  1: UpstreamRef upstream
  2: i32 freeSlots
  3: i32 queued
  4: i64 stewardEpoch
  // The steward gets nothing but failures from it.
  5: bool lost
}

struct ForwardReply {
  // An ErrorKind; 0 means the upstream answered.
  1: i32 error
  2: i32 status
  3: list<Header> headers
  4: binary body
  5: list<SlotDigest> digests
  6: i64 retryAfterMicros
  // Set where this steward has no free slot and another may: try there once.
  7: optional UpstreamRef redirect
  // More of the body follows in BodyPart frames with the same correlation.
  8: bool more
  // Of the whole body, where it is known.
  9: optional i64 length
  // Not the word of the idempotency key's owner: whether an earlier request
  // with the key has run is not known to the sender.
  10: bool keyUnknown
}

struct BodyPart {
  1: binary data
  2: bool last
  // An ErrorKind: the body ends here, cut short.
  3: i32 error
}

// The receiver of a streamed body lets the sender go on by that much.
struct BodyCredit {
  1: i64 bytes
}

struct CancelForward {
  1: HostRef sender
}

struct Digests {
  1: list<SlotDigest> digests
}

// Tells a witness of an idempotency key before the key's work is dispatched.
struct WitnessNote {
  1: HostRef owner
  2: string serviceName
  3: string idempotencyKey
  4: i64 ownerEpoch
}

struct WitnessReply {
  1: bool noted
}

// A successor asks what was forwarded to, told by or run for `predecessor`.
// Answering is also a fence: from then on nothing of it is accepted.
struct CollectRequest {
  // No host: the slice moved from a live host, and only older epochs are fenced.
  1: HostRef predecessor
  2: string serviceName
  // The range of key hashes that the successor took, as unsigned numbers.
  3: i64 first
  4: i64 last
  // The successor's; in the range, forwards of a lower one are refused from now.
  5: i64 epoch
}

struct CollectReply {
  1: bool complete
  // Not in use: keyHashes says the same in fewer bytes.
  2: list<string> idempotencyKeys
  // The 64-bit hashes of the keys known in the range, whoever owned them.
  3: list<i64> keyHashes
  // Who answers: a restarted host knows nothing of its earlier run's keys.
  4: HostRef witness
  // The witness owned the range until now and knew every key that might have
  // run: what it names is all that the successor has to know.
  5: bool wasOwner
}

// Rows of the table that changed; the receiver keeps the highest versions.
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

// Says what the sender has in force, and asks for anything higher.
struct ConfigurationQuery {
  1: i64 knownVersion
  // The sum of the versions of all place rows that the sender has applied: it
  // rises with every write to any of them.
  2: i64 knownPlaces
}

// A planned stop hands a stewardship over with exact running counts.
struct HandOver {
  1: UpstreamRef upstream
  2: i64 stewardEpoch
  3: i32 running
  4: i32 allowedSlots
}

struct HandOverReply {
  1: bool accepted
}

// A planner asks the steward of a slice's owner to end its grant, so that the
// table may name another owner.
struct RevokeSlice {
  1: UpstreamRef upstream
  2: i64 stewardEpoch
  3: string part
  4: i64 sliceEpoch
}

struct RevokeSliceReply {
  // The grant is surely in force nowhere.
  1: bool revoked
}

struct Leaving {
  1: HostRef sender
}

// What a host has to do with an upstream: the requests that it has running
// there, and how long those took that were answered since its last digest.
struct UpstreamUse {
  1: string upstream
  2: i32 running
  3: i32 answers
  // Mean time of one request without its wait for a slot.
  4: i32 serviceMicros
  // Requests that wait at the host, as only this upstream owns their keys.
  5: i32 waiting
}

// Which keys of a service a host was asked for since its last digest; a sample
// where there were many.
struct KeyUse {
  1: string serviceName
  2: list<i32> keys
}

// Which map of a service's keys a host goes by: the version of the stored
// assignment, and the steps (grants, lapses) that its assigner took since.
struct KeyMapMark {
  1: string serviceName
  2: i64 version
  3: i64 step
  4: HostRef assigner
  // The last digest that the sender had heard from that assigner's run.
  5: i64 heard
}

// What a host tells others a few times a second: the hosts of its cell all of
// it; from a hub, to one and to an assigner without `uses`.
struct HostDigest {
  1: HostRef sender
  2: bool leaving
  3: list<UpstreamUse> uses
  // Versions of the store's tables as this host knows them.
  4: i64 operatorVersion
  5: i64 upstreamVersion
  6: list<KeyMapMark> keyMaps
  // Only in digests to the assigner of the service.
  7: list<KeyUse> keyUses
  // Counts the digests of the sender's run.
  8: i64 number
  // The store answers this host, or was not asked.
  9: bool reachesStore
  10: i64 hostsVersion
}

struct KeyRange {
  1: i32 first
  2: i32 last
  // Empty while nobody may be sent these keys.
  3: string upstream
}

// An assigner's map of a service's keys.
struct KeyMapUpdate {
  1: KeyMapMark mark
  // All ranges; with a base, those that differ from the map of that mark.
  2: list<KeyRange> ranges
  3: optional KeyMapMark base
}

// Asks for a table of the store as the receiver knows it: what changed after a
// version, or the whole where that is 0 or too long ago.
struct TableQuery {
  1: string table
  2: i64 after
}

// A row as the store has it, or had it when it was removed.
struct TableRow {
  1: string key
  2: binary value
  3: i64 version
  4: bool removed
}

// What changed in a table, from a host that follows it at the store to those
// of its cell that do not, or to one that has asked.
struct TableChange {
  1: string table
  // Of the copy that it changes; of no use where that is not known.
  2: i64 after
  3: list<TableRow> rows
  // How long a row that is gone may still be taken as there.
  4: i32 graceMs
}

struct TableCopy {
  1: string table
  2: i64 version
  3: list<TableRow> rows
}

// Exactly one of the optional members is set.
struct Frame {
  1: i64 correlation
  2: bool reply
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
}
