@0xd1b0a8f3c4e52a67;
# Envelope of a frame exchanged between two daemons. The version field holds
# PROTOCOL_VERSION of _peer_frame.py.

enum Kind {
  challenge @0;
  proof @1;
  request @2;
  answer @3;
  failure @4;
}

struct Envelope {
  version @0 :UInt16;
  kind @1 :Kind;
  requestId @2 :UInt64;
  method @3 :Text;
  payload @4 :Data;
  sender @5 :Text;
}
