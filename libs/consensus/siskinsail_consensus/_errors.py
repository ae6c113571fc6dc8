"""Errors of the replicated log."""

from siskinsail_types import SiskinsailError


class ProposeError(SiskinsailError):
    """A proposal or a read barrier failed."""


class NotLeaderError(ProposeError):
    """The replica is not the leader; the command is never applied."""


class ProposalRefusedError(ProposeError):
    """A limit was exceeded; the command is never applied."""


class ProposalOutcomeUnknownError(ProposeError):
    """The command is in the log and may still be committed later."""


class ReplicaNotReadyError(SiskinsailError):
    """The replica has not loaded its journal yet, or it has failed."""


class LogConflictError(SiskinsailError):
    """A leader sent an entry that conflicts with a committed entry."""
