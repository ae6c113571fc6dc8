@0xb7f0c3a95d2e4816;
# Messages between the members of the replicated log.

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  data @2 :Data;
}

struct Message {
  clusterId @0 :Text;      # empty if the sender belongs to no cluster yet
  sender @1 :Text;
  senderDisk @2 :Text;
  targetDisk @3 :Text;     # request: disk that the request is addressed to
  term @4 :UInt64;         # term of the sender; vote: term of the election

  index @5 :UInt64;
  # vote: last entry of the candidate's log;
  # append: entry before the first one sent;
  # append response: last entry that matches, or, if the request was rejected,
  # the entry to send next;
  # snapshot: last entry covered by the snapshot
  indexTerm @6 :UInt64;    # term of the entry at index
  commitIndex @7 :UInt64;  # append: last committed entry
  entries @8 :List(Entry);

  accepted @9 :Bool;       # response: vote granted or request accepted
  preVote @10 :Bool;
  handOver @11 :Bool;      # vote: election started by a leadership transfer

  data @12 :Data;          # snapshot: a chunk;
                           # announce response: initial membership
  offset @13 :UInt64;
  isLast @14 :Bool;

  silenceS @15 :Float64;   # vote response: seconds since leader contact
  leader @16 :Text;        # announce response: last known leader

  unheard @17 :Bool;
  # vote response: since its process started, the member has neither led nor
  # had contact with a leader;
  # vote: all voters have reported this to the candidate

  departing @18 :Bool;     # the sender stops and gives up its vote
  succeeded @19 :Bool;
  # departure response: a member takes over the place of a departing voter, or
  # may do so soon
  removed @20 :Bool;
  # vote response: the candidate is no voter of the membership that was
  # committed at index
}
