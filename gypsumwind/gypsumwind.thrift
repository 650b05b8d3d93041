// Messages between daemons. Loaded at run time, so the build needs no code generator.

struct Endpoint {
  1: string ip
  2: i32 caller_port
  3: i32 handoff_port
  4: i32 peer_port
}

struct Member {
  1: string vm
  2: string zone
  3: Endpoint endpoint
  4: i64 incarnation
  5: i32 state
}

// A membership probe or acknowledgement, sent over UDP.
struct Datagram {
  1: bool is_ack
  2: i64 seq
  3: Member sender
  4: list<Member> updates
  5: optional Endpoint target
}

struct Record {
  1: string key
  2: i64 version
  3: string scope
  4: binary payload
  // era of the store if `version` is a revision of the store, else 0
  5: i64 era = 0
}

struct ScopeDigest {
  1: string scope
  2: i64 digest
}

struct ScopeVersions {
  1: string scope
  2: map<string, i64> versions
  // by key; an era of 0 is omitted
  3: map<string, i64> eras
}

struct Wanted {
  1: string scope
  2: list<string> keys
}

struct Hold {
  1: string instance
  2: string holder
  3: i64 epoch
}

struct ClaimReply {
  1: string instance
  2: bool granted
  3: string holder
  4: i64 epoch
}

// Replies to claims, with the VMs of the answering VM's zone that are not dead in its view.
struct ClaimAnswer {
  1: list<ClaimReply> replies
  2: list<string> live
}

// A request in flight at a hand-over.
struct UsageLeft {
  1: i64 remaining_ms
  2: bool foreign
}

struct Headroom {
  1: i32 slots
  2: i32 in_flight
  3: i32 free_high
  4: i32 free
  5: i32 free_lent
  6: i32 ejected
}

struct HoldLoad {
  1: string instance
  2: i64 epoch
  3: i32 in_flight
  4: double latest_deadline
}

// Record vm/<vm>, replicated within its zone. Deadlines are epoch seconds.
struct VmDigest {
  1: string vm
  2: i64 incarnation
  3: bool leaving
  4: list<HoldLoad> holds
  5: map<string, Headroom> headroom
  // hash of all tables and the places that are in force at the VM
  6: i64 tables_hash
}

// Record zone/<zone>, replicated everywhere.
struct ZoneDigest {
  1: string zone
  2: double at
  3: i32 vms
  4: map<string, Headroom> headroom
  // the hash if it is the same at all VMs of the zone, else 0
  5: i64 tables_hash
}

// Record heir/<vm>/<incarnation>, replicated everywhere until it expires (epoch seconds).
struct Heir {
  1: string vm
  2: i64 incarnation
  3: string heir
  4: double expires
}

struct HomeId {
  1: string vm
  2: i64 incarnation
}

struct Header {
  1: string name
  2: string value
}

// An idempotency key that a stopping home transfers to its heir.
struct KeyEntry {
  1: string key
  2: string fingerprint
  3: double expires
  4: bool ran
  5: i32 status
  6: list<Header> headers
  7: optional binary body
}

// An update of one feed from a relay: the changes since a position of its changelog, or all values
// (`whole`). `values` is compressed JSON by name, null for removed names.
struct RelayNews {
  1: i64 log
  2: i64 position
  3: i64 revision
  4: i32 age_ms
  5: bool whole
  6: binary values
  7: i32 grace_ms
  8: i64 era = 0
}

service Peer {
  i64 ping()
  bool reach(1: Endpoint endpoint)
  list<ScopeVersions> compare(1: list<ScopeDigest> digests)
  list<Record> exchange(1: list<Record> records, 2: list<Wanted> wanted)
  ClaimAnswer claim(1: string claimant, 2: list<Hold> claims)
  // 0 taken, 1 refused, 2 superseded
  i32 hand_over(1: Hold hold, 2: list<UsageLeft> usages)
  void discharge(1: string instance, 2: bool foreign)
  void inherit(1: list<HomeId> homes, 2: list<KeyEntry> entries)
  bool void_attempt(1: string attempt, 2: i64 remaining_ms, 3: i64 incarnation)
  RelayNews follow(1: string feed, 2: i64 log, 3: i64 position, 4: i32 wait_ms)
}
