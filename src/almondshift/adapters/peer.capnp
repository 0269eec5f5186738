@0xb3d1f0a84c2e5d17;

struct Fact {
  kind @0 :UInt8;
  key @1 :Text;
  version @2 :UInt64;
  origin @3 :Text;
  ttlSeconds @4 :Float32;
  value @5 :Data;
}

struct FactDigest {
  kind @0 :UInt8;
  version @1 :UInt64;
  key @2 :Text;
  origin @3 :Text;
}

struct Exchange {
  sender @0 :Text;
  secret @1 :Text;
  digests @2 :List(FactDigest);
  facts @3 :List(Fact);
  wants @4 :List(FactDigest);
}

struct Question {
  sender @0 :Text;
  secret @1 :Text;
  topic @2 :Text;
  body @3 :Data;
}

struct Answer {
  known @0 :Bool;
  body @1 :Data;
}

struct Envelope {
  callNumber @0 :UInt64;
  union {
    exchange @1 :Exchange;
    question @2 :Question;
    answer @3 :Answer;
  }
}
