@0xb6f0c1d2a34e5871;
# Calls between VMs, over TCP.

enum Verdict {
  notRun @0;
  mayHaveRun @1;
  ran @2;
}

struct Part {
  attempt @0 :UInt64;
  request @1 :Text;
  service @2 :Text;
  shard @3 :Text;
  leaf @4 :Text;
  hasSnapshot @5 :Bool;
  snapshot @6 :UInt64;
  # Time that remains when the part is sent.
  remainingUs @7 :UInt64;
  idempotent @8 :Bool;
  hopsLeft @9 :UInt8;
  body @10 :Data;
  # The first owner does not answer the sender: to be served by the receiver,
  # if it may hold connections to the leaf.
  takeover @11 :Bool;
}

struct Report {
  owner @0 :Text;
  state @1 :Text;
  held @2 :List(UInt64);
  queued @3 :UInt32;
  busy @4 :UInt16;
  slots @5 :UInt16;
  waitedUs @6 :UInt64;
  servedUs @7 :UInt64;
  medianUs @8 :UInt64;
  highUs @9 :UInt64;
}

struct Outcome {
  attempt @0 :UInt64;
  union {
    reply :group {
      snapshot @1 :UInt64;
      body @2 :Data;
    }
    failure :group {
      verdict @3 :Verdict;
      reason @4 :Text;
      # Zero where coming back does not help.
      retryAfterMs @5 :UInt32;
    }
  }
  hasReport @6 :Bool;
  report @7 :Report;
}

# Snapshots that a leaf holds of one shard, as its owner last heard.
struct Holding {
  service @0 :Text;
  shard @1 :Text;
  leaf @2 :Text;
  snapshots @3 :List(UInt64);
}

# Claim of an idempotency key that one VM makes for another.
struct Claim {
  keyHigh @0 :UInt64;
  keyLow @1 :UInt64;
  attempt @2 :UInt64;
  hopsLeft @3 :UInt8;
  # The claim is to be taken out again, as its request was certainly not run.
  release @4 :Bool;
}

enum ClaimAnswer {
  # Never sent, so that an answer without a value grants nothing.
  none @0;
  granted @1;
  duplicate @2;
  full @3;
  platformDown @4;
}

interface Peer {
  dispatch @0 (part :Part) -> (outcome :Outcome);
  cancel @1 (attempt :UInt64, leaf :Text) -> ();
  # Which snapshots the leaves of a service hold; answered from memory.
  holdings @2 (service :Text, hopsLeft :UInt8, waitUs :UInt64) -> (holdings :List(Holding));
  # Accepted changes after a revision, as JSON; a whole catalog where the
  # entries are no longer at hand.
  changes @3 (since :UInt64) -> (revision :UInt64, catalog :Data, entries :List(Data));
  # State of the peer and what it knows of others, as JSON.
  status @4 () -> (status :Data);
  # Shows that the connection is alive.
  ping @5 () -> ();
  # Claims a key by the receiver, or by the member of its failure domain that
  # ranks first for the key's value. `contended` tells the sender to go on
  # sending its claims to others.
  claim @6 (claim :Claim) -> (answer :ClaimAnswer, contended :Bool);
}
