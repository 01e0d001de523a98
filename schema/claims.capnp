@0xd3a94c1b7e52f806;
# Claims of idempotency keys as they stand in a value of the platform's
# service: four lists of the same length, sorted by key.

struct Claims {
  keysHigh @0 :List(UInt64);
  keysLow @1 :List(UInt64);
  attempts @2 :List(UInt64);
  # Wall clock of the claiming VM in seconds since the epoch, rounded up.
  seconds @3 :List(UInt32);
}
