"""Messages between members, encoded with Cap'n Proto."""

from pathlib import Path
from typing import Any

import capnp
import msgspec

from siskinsail_journal import Record
from siskinsail_types import DiskId
from siskinsail_types import ProtocolError
from siskinsail_types import VmId

_schema: Any = capnp.load(str(Path(__file__).with_name('consensus.capnp')))

VOTE = 'consensus.vote'
HEARTBEAT = 'consensus.heartbeat'
APPEND = 'consensus.append'
SNAPSHOT = 'consensus.snapshot'
HAND_OVER = 'consensus.hand_over'
ANNOUNCE = 'consensus.announce'
DEPARTURE = 'consensus.departure'
METHODS = (
    VOTE,
    HEARTBEAT,
    APPEND,
    SNAPSHOT,
    HAND_OVER,
    ANNOUNCE,
    DEPARTURE,
)


class Message(msgspec.Struct, frozen=True):
    """A request or a response; ``consensus.capnp`` describes the fields."""

    cluster_id: str
    sender: VmId
    sender_disk: DiskId
    term: int
    target_disk: DiskId = DiskId('')
    index: int = 0
    index_term: int = 0
    commit_index: int = 0
    entries: tuple[Record, ...] = ()
    accepted: bool = False
    is_pre_vote: bool = False
    is_hand_over: bool = False
    data: bytes = b''
    offset: int = 0
    is_last: bool = False
    silence_s: float = 0.0
    leader: str = ''
    is_unheard: bool = False
    is_departing: bool = False
    is_succeeded: bool = False
    is_removed: bool = False

    def encode(self) -> bytes:
        """Return the Cap'n Proto bytes."""
        message = _schema.Message.new_message(
            clusterId=self.cluster_id,
            sender=self.sender,
            senderDisk=self.sender_disk,
            targetDisk=self.target_disk,
            term=self.term,
            index=self.index,
            indexTerm=self.index_term,
            commitIndex=self.commit_index,
            accepted=self.accepted,
            preVote=self.is_pre_vote,
            handOver=self.is_hand_over,
            data=self.data,
            offset=self.offset,
            isLast=self.is_last,
            silenceS=self.silence_s,
            leader=self.leader,
            unheard=self.is_unheard,
            departing=self.is_departing,
            succeeded=self.is_succeeded,
            removed=self.is_removed,
        )
        entries = message.init('entries', len(self.entries))
        for position, record in enumerate(self.entries):
            entry = entries[position]
            entry.index = record.index
            entry.term = record.term
            entry.data = record.data
        return bytes(message.to_bytes())

    @staticmethod
    def decode(data: bytes) -> 'Message':
        """Decode a message.

        Raises
        ------
        ProtocolError
            If ``data`` is not a valid message.
        """
        try:
            with _schema.Message.from_bytes(data) as message:
                return _from_reader(message)
        except (capnp.KjException, ValueError) as error:
            raise ProtocolError('invalid consensus message') from error


def _from_reader(message: Any) -> Message:
    return Message(
        cluster_id=str(message.clusterId),
        sender=VmId(str(message.sender)),
        sender_disk=DiskId(str(message.senderDisk)),
        target_disk=DiskId(str(message.targetDisk)),
        term=int(message.term),
        index=int(message.index),
        index_term=int(message.indexTerm),
        commit_index=int(message.commitIndex),
        entries=tuple(
            Record(int(entry.index), int(entry.term), bytes(entry.data))
            for entry in message.entries
        ),
        accepted=bool(message.accepted),
        is_pre_vote=bool(message.preVote),
        is_hand_over=bool(message.handOver),
        data=bytes(message.data),
        offset=int(message.offset),
        is_last=bool(message.isLast),
        silence_s=float(message.silenceS),
        leader=str(message.leader),
        is_unheard=bool(message.unheard),
        is_departing=bool(message.departing),
        is_succeeded=bool(message.succeeded),
        is_removed=bool(message.removed),
    )
