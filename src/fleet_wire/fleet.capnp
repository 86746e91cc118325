@0xc2a9e6d1f3b84707;

# Datagrams between instances, and records of batch jobs in the platform's store.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gooseberryfall::fleet_wire::schema");

struct Member {
  id @0 :Text;
  name @1 :Text;
  dataCentre @2 :Text;
  callersAddress @3 :Text;
  capacity @4 :Float64;
  startedAt @5 :Int64;
}

struct Target {
  id @0 :Text;
  service @1 :Text;
  address @2 :Text;
  dataCentre @3 :Text;
  slots @4 :UInt32;
  startedAt @5 :Int64;
  # Requests a second that it takes from all instances together; negative if it names no limit.
  rateLimit @6 :Float64 = -1;
  # Whether it has just started, and takes few requests yet.
  cold @7 :Bool;
}

# Admission request: asks the leader for a slot.
struct SlotCall {
  number @0 :UInt64;
  service @1 :Text;
  batch @2 :Bool;
  dataCentre @3 :Text;
  prefixes @4 :List(UInt64);
  tokens @5 :UInt32;
  untilObjectiveMs @6 :Int32;
  untilEndMs @7 :Int32;
  # Whether this is the caller's last attempt after a rejection.
  returning @8 :Bool;
  excluded @9 :List(Text);
  team @10 :Text;
  # Hash of team, path and body, equal for every attempt of a request.
  fingerprint @11 :UInt64;
  # Hashes of the parts of the prompt, each by itself.
  parts @12 :List(UInt64);
  # Time until a batch item is abandoned; -1 if unknown.
  untilExpiryMs @13 :Int32 = -1;
  # Whether an earlier attempt has counted against the rate limit of the team.
  charged @14 :Bool;
  promptTokens @15 :UInt32;
}

struct SlotReply {
  number @0 :UInt64;
  union {
    granted :group {
      target @1 :Text;
      address @2 :Text;
    }
    denied :group {
      reason @3 :UInt8;
      retryAfterMs @4 :Int32;
    }
  }
}

# Releases a slot or withdraws an admission request.
struct SlotEnd {
  number @0 :UInt64;
  outcome @1 :UInt8;
  # Negative if no event was received.
  firstEventMs @2 :Int32;
  durationMs @3 :Int32;
  fingerprint @4 :UInt64;
  # As in SlotCall.
  parts @5 :List(UInt64);
  # Target of the run; empty if there was none.
  target @6 :Text;
}

struct Run {
  number @0 :UInt64;
  target @1 :Text;
  batch @2 :Bool;
  # Whether the target appears to be unresponsive.
  silent @3 :Bool;
}

struct LeavingTarget {
  id @0 :Text;
  # As in Target; 0 if unknown.
  startedAt @1 :Int64;
}

# What a target has said about its limit in an answer.
struct AnnouncedLimit {
  id @0 :Text;
  # As in Target; 0 if unknown.
  startedAt @1 :Int64;
  # As in Target.
  rate @2 :Float64 = -1;
  # Time since it said so.
  ageMs @3 :Int32;
}

# What a target has said about itself, in an answer or in its entry in the store.
struct TargetStatement {
  id @0 :Text;
  # As in Target; 0 if unknown.
  startedAt @1 :Int64;
  # Time since it said so.
  ageMs @2 :Int32;
  union {
    leaving @3 :Void;
    # As in Target.
    rateLimit @4 :Float64;
    # Time for which it stays cold, counted from when it said so; 0 if it is warm.
    coldForMs @5 :Int32;
  }
}

# Evacuated data centres, as of an offset of the operator's topic.
struct Evacuations {
  # Offset after the last record that is included; 0 if nothing is known.
  offset @0 :UInt64;
  dataCentres @1 :List(Text);
}

# Property of a request that may crash targets.
struct Trait {
  # 0: the whole request, 1: a part of its prompt.
  kind @0 :UInt8;
  hash @1 :UInt64;
}

# What is known about a trait.
struct CrashMark {
  trait @0 :Trait;
  crashes @1 :UInt32;
  companions @2 :List(Trait);
  refused @3 :Bool;
  # Time since the last crash.
  ageMs @4 :Int32;
  # Of these crashes, those of targets that had answered since their crash before.
  crashesOfSoundTargets @5 :UInt32;
}

# Record of the refused traits in the platform's store.
struct CrashRecord {
  # Milliseconds since the Unix epoch.
  writtenAt @0 :Int64;
  marks @1 :List(CrashMark);
}

struct Partition {
  number @0 :UInt32;
  epoch @1 :UInt64;
}

# Requests that were sent at about the same time.
struct SentCount {
  ageMs @0 :UInt32;
  count @1 :UInt32;
}

struct TeamCount {
  team @0 :Text;
  # Sum of `sent`.
  count @1 :UInt32;
  # The newest first. Empty in reports of instances that do not tell ages.
  sent @2 :List(SentCount);
}

# State of an instance, sent to the leader.
struct Report {
  self @0 :Member;
  ready @1 :Bool;
  leaving @2 :Bool;
  stateVersion @3 :UInt64;
  partitions @4 :List(Partition);
  runs @5 :List(Run);
  storeAgeMs @6 :Int32;
  # Requests sent in the last window of the rate limits, by team.
  spent @7 :List(TeamCount);
  uptimeMs @8 :Int32;
  # Versions of the blocks of the leader's view that the instance has.
  heldBlocks @9 :List(BlockMark);
  crashMarks @10 :List(CrashMark);
  # Targets that have said in an answer that they leave.
  leavingTargets @11 :List(LeavingTarget);
  # Limits, or their ends, that the instance has heard lately.
  limitsHeard @12 :List(AnnouncedLimit);
  # Statements of targets that the instance has heard lately. Replaces the two lists before.
  statements @13 :List(TargetStatement);
  evacuations @14 :Evacuations;
}

# Part of the leader's view of the fleet.
struct Block {
  # The entries of one kind are distributed over `count` blocks.
  index @0 :UInt32;
  count @1 :UInt32;
  union {
    owners @2 :List(Owner);
    members @3 :List(Member);
    targets @4 :List(Target);
  }
}

struct Owner {
  partition @0 :UInt32;
  epoch @1 :UInt64;
  instance @2 :Text;
}

# Version of a block: its id and the hash of its content.
struct BlockMark {
  kind @0 :UInt8;
  index @1 :UInt32;
  count @2 :UInt32;
  hash @3 :UInt32;
}

# Heartbeat of the leader.
struct Digest {
  leader @0 :Member;
  resigning @1 :Bool;
  stateVersion @2 :UInt64;
  # Time until the next heartbeat.
  intervalMs @3 :Int32;
  storeAgeMs @4 :Int32;
  # Number of instances that are alive.
  members @5 :UInt32;
  crashMarks @6 :List(CrashMark);
  evacuations @7 :Evacuations;
  # Largest capacity of the instances that may own job partitions; infinite while the leader doesn't
  # know all instances, 0 from a leader of an earlier version, which doesn't send it.
  largestCapacity @8 :Float64;
}

# Blocks of the leader's view that are stale at the receiver.
struct Update {
  leader @0 :Text;
  blocks @1 :List(Block);
}

# Asks which instance leads, and offers the sender as a candidate.
struct LeaderQuestion {
  from @0 :Member;
  # Whether the sender can read the store.
  fit @1 :Bool;
}

struct Datagram {
  union {
    slotCall @0 :SlotCall;
    slotReply @1 :SlotReply;
    slotEnd @2 :SlotEnd;
    # Number of the batch run that is preempted.
    yieldOrder @3 :UInt64;
    report @4 :Report;
    digest @5 :Digest;
    # Number of the admission request that is pending.
    slotWaiting @6 :UInt64;
    update @7 :Update;
    leaderQuestion @8 :LeaderQuestion;
    # The leader from which the sender receives heartbeats.
    leaderHint @9 :Member;
    # Id of an instance whose process has exited.
    instanceEnded @10 :Text;
  }
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct JobItem {
  id @0 :Text;
  path @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;
  tokens @4 :UInt64;
}

struct Job {
  id @0 :Text;
  team @1 :Text;
  route @2 :Text;
  items @3 :List(JobItem);
  # Milliseconds since the Unix epoch.
  acceptedAt @4 :Int64;
}

struct JobRecord {
  union {
    opened @0 :Job;
    finished :group {
      job @1 :Text;
      position @2 :UInt32;
      item @3 :UInt32;
      deadLetter @4 :Bool;
      output @5 :Data;
    }
    closed @6 :Text;
    advanced :group {
      job @7 :Text;
      item @8 :UInt32;
      # Number of the last event received plus one; 0 if none was received.
      nextEvent @9 :UInt64;
      text @10 :Data;
    }
    failed :group {
      job @11 :Text;
      item @12 :UInt32;
      failures @13 :UInt32;
    }
  }
}
