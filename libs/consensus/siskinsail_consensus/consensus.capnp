@0xb7f0c3a95d2e4816;
# Messages between the members of the replicated log.

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  data @2 :Data;
}

struct Message {
  clusterId @0 :Text;      # empty: the sender has no state yet
  sender @1 :Text;
  senderDisk @2 :Text;
  targetDisk @3 :Text;     # in a request: the disk that is meant
  term @4 :UInt64;         # term of the sender; in a vote, the one asked for

  index @5 :UInt64;
  # vote: last entry; append: entry before the first one sent;
  # answer to append: last entry that matches, or the entry to send next;
  # snapshot: last entry that it covers
  indexTerm @6 :UInt64;    # term of the entry at index
  commitIndex @7 :UInt64;  # append: last committed entry
  entries @8 :List(Entry);

  accepted @9 :Bool;       # answer: granted or taken
  preVote @10 :Bool;
  handOver @11 :Bool;      # vote: the leader asked for this election

  data @12 :Data;          # snapshot: a part; announce: first membership
  offset @13 :UInt64;
  isLast @14 :Bool;

  silenceS @15 :Float64;   # answer to vote: time since a leader was heard
  leader @16 :Text;        # answer to announce: the leader last heard of

  unheard @17 :Bool;
  # answer to vote: since its process began, the member has neither led nor
  # heard a leader; vote: every member of the candidate has said so
}
