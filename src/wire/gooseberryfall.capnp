@0xf8bb758c58083b77;

# Records of the log streams and messages between instances. Mirrors src/core/records.hpp,
# src/core/fleet.hpp and src/core/messages.hpp.
#
# Rules for changes: fields and union members are only ever added, with the next number. A reader
# that meets a union member it does not know reports an error, because ignoring the record would
# make instances of different versions disagree. The first member of each union stands for "not
# set", so that zeroed input is an error, too.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gooseberryfall::wire::schema");

struct Incarnation {
  instance @0 :Text;
  number @1 :UInt64;
}

# Fleet.

struct Team {
  id @0 :Text;
  rate @1 :Float64;
  burst @2 :Float64;
  weight @3 :Float64;
  queueLimit @4 :UInt32;
}

struct ApiKey {
  id @0 :Text;
  team @1 :Text;
  hash @2 :Data;
}

struct Model {
  id @0 :Text;
  expectedTokens @1 :UInt32;
}

enum ServiceKind {
  engine @0;
  plain @1;
}

struct Service {
  id @0 :Text;
  kind @1 :ServiceKind;
  model @2 :Text;
  pathPrefix @3 :Text;
  open @4 :Bool;
  repeatable @5 :Bool;
}

struct Target {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  port @3 :UInt16;
  dataCentre @4 :Text;
  slots @5 :UInt32;
  checksFencing @6 :Bool;
}

struct FleetEntry {
  union {
    unset @0 :Void;
    team @1 :Team;
    apiKey @2 :ApiKey;
    model @3 :Model;
    service @4 :Service;
    target @5 :Target;
  }
}

enum EntryKind {
  team @0;
  apiKey @1;
  model @2;
  service @3;
  target @4;
}

struct EntryKey {
  kind @0 :EntryKind;
  id @1 :Text;
}

# Control stream.

enum ShardKind {
  control @0;
  limits @1;
  batch @2;
}

struct Shard {
  kind @0 :ShardKind;
  index @1 :UInt32;
}

struct Member {
  incarnation @0 :Incarnation;
  dataCentre @1 :Text;
  callerAddress @2 :Text;
  peerAddress @3 :Text;
}

struct Lease {
  shard @0 :Shard;
  holder @1 :Incarnation;
  epoch @2 :UInt64;
  claimedAt @3 :UInt64;
  released @4 :Bool;
}

struct LimitLevel {
  team @0 :Text;
  portion @1 :UInt32;
  level @2 :Float64;
  outstanding @3 :Float64;
  rate @4 :Float64;
  burst @5 :Float64;
}

struct ConfigChange {
  author @0 :Text;
  comment @1 :Text;
  base @2 :UInt64;
  upserts @3 :List(FleetEntry);
  removals @4 :List(EntryKey);
}

struct MemberJoin {
  base @0 :UInt64;
  joined @1 :Member;
}

struct MemberLeave {
  base @0 :UInt64;
  left @1 :Incarnation;
}

struct LeaseClaim {
  struct Item {
    shard @0 :Shard;
    expected @1 :UInt64;
  }
  claimant @0 :Incarnation;
  shards @1 :List(Item);
}

struct LeaseRelease {
  struct Item {
    shard @0 :Shard;
    epoch @1 :UInt64;
    levels @2 :List(LimitLevel);
  }
  holder @0 :Incarnation;
  shards @1 :List(Item);
}

struct AuditEntry {
  offset @0 :UInt64;
  atMs @1 :Int64;
  author @2 :Text;
  comment @3 :Text;
  base @4 :UInt64;
  version @5 :UInt64;
  refused @6 :Text;
  entries @7 :List(Text);
}

struct WriterPosition {
  writer @0 :Incarnation;
  sequence @1 :UInt64;
}

struct ControlCheckpoint {
  struct ReleasedLevels {
    shard @0 :Shard;
    levels @1 :List(LimitLevel);
  }
  covers @0 :UInt64;
  version @1 :UInt64;
  entries @2 :List(FleetEntry);
  members @3 :List(Member);
  leases @4 :List(Lease);
  releasedLevels @5 :List(ReleasedLevels);
  audit @6 :List(AuditEntry);
  writers @7 :List(WriterPosition);
  membersChangedAt @8 :UInt64;
}

struct ControlRecord {
  writer @0 :Incarnation;
  sequence @1 :UInt64;
  union {
    unset @2 :Void;
    configChange @3 :ConfigChange;
    memberJoin @4 :MemberJoin;
    memberLeave @5 :MemberLeave;
    leaseClaim @6 :LeaseClaim;
    leaseRelease @7 :LeaseRelease;
    checkpoint @8 :ControlCheckpoint;
  }
}

struct ControlGroup {
  records @0 :List(ControlRecord);
}

# Batch streams.

struct JobOptions {
  repeatable @0 :Bool;
  maxTokens @1 :UInt32;
}

struct UploadChunk {
  upload @0 :Text;
  firstIndex @1 :UInt32;
  items @2 :List(Data);
}

struct JobOpen {
  job @0 :Text;
  team @1 :Text;
  service @2 :Text;
  upload @3 :Text;
  itemCount @4 :UInt32;
  content @5 :Data;
  options @6 :JobOptions;
}

struct ItemAttempt {
  epoch @0 :UInt64;
  job @1 :Text;
  index @2 :UInt32;
}

enum ItemStatus {
  succeeded @0;
  failed @1;
}

struct ItemResult {
  epoch @0 :UInt64;
  job @1 :Text;
  index @2 :UInt32;
  status @3 :ItemStatus;
  body @4 :Data;
}

struct OptionalTime {
  union {
    none @0 :Void;
    ms @1 :Int64;
  }
}

struct JobSnapshot {
  epoch @0 :UInt64;
  job @1 :Text;
  team @2 :Text;
  service @3 :Text;
  itemCount @4 :UInt32;
  content @5 :Data;
  options @6 :JobOptions;
  cancelled @7 :Bool;
  openedAtMs @8 :Int64;
  endedAt @9 :OptionalTime;
}

struct CarriedItems {
  struct Item {
    index @0 :UInt32;
    attempted @1 :Bool;
    body @2 :Data;
  }
  epoch @0 :UInt64;
  job @1 :Text;
  items @2 :List(Item);
}

struct CarriedResults {
  struct Item {
    index @0 :UInt32;
    status @1 :ItemStatus;
    body @2 :Data;
  }
  epoch @0 :UInt64;
  job @1 :Text;
  items @2 :List(Item);
}

struct BatchRecord {
  writer @0 :Incarnation;
  sequence @1 :UInt64;
  union {
    unset @2 :Void;
    partitionOpen :group {
      epoch @3 :UInt64;
    }
    uploadChunk @4 :UploadChunk;
    jobOpen @5 :JobOpen;
    itemAttempt @6 :ItemAttempt;
    itemResult @7 :ItemResult;
    jobCancel :group {
      job @8 :Text;
    }
    jobSnapshot @9 :JobSnapshot;
    carriedItems @10 :CarriedItems;
    carriedResults @11 :CarriedResults;
  }
}

struct BatchGroup {
  records @0 :List(BatchRecord);
}

# Messages between instances.

enum MemberCondition {
  alive @0;
  suspect @1;
  leaving @2;
}

struct MemberNews {
  member @0 :Incarnation;
  condition @1 :MemberCondition;
  refutation @2 :UInt64;
}

struct Probe {
  sequence @0 :UInt64;
  appliedNext @1 :UInt64;
  news @2 :List(MemberNews);
}

struct ProbeAnswer {
  sequence @0 :UInt64;
  appliedNext @1 :UInt64;
  leaving @2 :Bool;
  news @3 :List(MemberNews);
}

struct RelayedGroup {
  offset @0 :UInt64;
  appendedAtMs @1 :Int64;
  records @2 :List(ControlRecord);
}

struct GrantReport {
  grant @0 :UInt64;
  spent @1 :Float64;
  closed @2 :Bool;
  returned @3 :Float64;
  ageNs @4 :Int64;
}

struct LimitRequest {
  team @0 :Text;
  portion @1 :UInt32;
  grant @2 :UInt64;
  wanted @3 :Float64;
  reports @4 :List(GrantReport);
  ahead @5 :Float64;
}

struct LimitGrant {
  team @0 :Text;
  portion @1 :UInt32;
  grant @2 :UInt64;
  tokens @3 :Float64;
  owner @4 :Bool;
  nextTokenNs @5 :Int64;
  left @6 :Float64;
}

struct CapacityReport {
  target @0 :Text;
  online @1 :UInt32;
  batch @2 :UInt32;
  batchWanted @3 :UInt32;
}

struct CapacityPermit {
  target @0 :Text;
  batch @1 :UInt32;
  onlineElsewhere @2 :UInt32;
  leaving @3 :Bool;
}

struct ControlRelay {
  # Null if the groups suffice.
  snapshot @0 :ControlCheckpoint;
  groups @1 :List(RelayedGroup);
}

struct CrashNotice {
  fingerprint @0 :Data;
  deaths @1 :UInt32;
  deathsAlone @2 :UInt32;
}

struct JobStatus {
  job @0 :Text;
  team @1 :Text;
  items @2 :UInt32;
  succeeded @3 :UInt32;
  failed @4 :UInt32;
  cancelled @5 :Bool;
  ended @6 :Bool;
  content @7 :Data;
}

struct ResultReference {
  index @0 :UInt32;
  status @1 :ItemStatus;
  offset @2 :UInt64;
  record @3 :UInt32;
  bodyIndex @4 :UInt32;
}

struct OptionalOffset {
  union {
    none @0 :Void;
    offset @1 :UInt64;
  }
}

struct JobQuery {
  query @0 :UInt64;
  partition @1 :UInt32;
  applied @2 :OptionalOffset;
  job @3 :Text;
  firstResult @4 :UInt32;
  resultLimit @5 :UInt32;
  list @6 :Bool;
}

struct JobAnswer {
  query @0 :UInt64;
  holder @1 :Bool;
  jobs @2 :List(JobStatus);
  results @3 :List(ResultReference);
}

struct PeerMessage {
  union {
    unset @0 :Void;
    probe @1 :Probe;
    probeAnswer @2 :ProbeAnswer;
    controlRequestFrom @3 :UInt64;
    controlRelay @4 :ControlRelay;
    limitRequest @5 :LimitRequest;
    limitGrant @6 :LimitGrant;
    capacityReport @7 :CapacityReport;
    capacityPermit @8 :CapacityPermit;
    crashNotice @9 :CrashNotice;
    jobQuery @10 :JobQuery;
    jobAnswer @11 :JobAnswer;
  }
}

struct Envelope {
  from @0 :Incarnation;
  to @1 :Incarnation;
  messages @2 :List(PeerMessage);
  fromAddress @3 :Text;
}

interface Peer {
  # The answer only says that the envelope was taken.
  deliver @0 (envelope :Envelope) -> ();
}
