@0xd2c5a3f0916e7b48;
# Datagrams between VMs; packed.

struct Vm {
  name @0 :Text;
  failureDomain @1 :Text;
  # Four or sixteen bytes of the IP number.
  ip @2 :Data;
  port @3 :UInt16;
  incarnation @4 :UInt64;
  state @5 :State;
  revision @6 :UInt64;
}

enum State {
  live @0;
  suspect @1;
  leaving @2;
  dead @3;
}

struct Notice {
  leaf @0 :Text;
  version @1 :UInt64;
  draining @2 :Bool;
  source @3 :Source;
}

enum Source {
  leaf @0;
  members @1;
  health @2;
}

struct Message {
  from @0 :Vm;
  vms @1 :List(Vm);
  notices @2 :List(Notice);
  body :union {
    ping @3 :UInt64;
    ack @4 :UInt64;
    pingRequest :group {
      probe @5 :UInt64;
      ip @6 :Data;
      port @7 :UInt16;
    }
    join @8 :Void;
    push @9 :Void;
  }
  # Digest of the members of the sender's failure domain.
  digest @10 :UInt64;
}
