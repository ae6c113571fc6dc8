"""Requests that may be served in each state of the daemon lease."""

from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_catalogue import ViewSource
from siskinsail_types import ErrorCode
from siskinsail_types import LeaseState
from siskinsail_types import RequestError


class ReadTargets(NamedTuple):
    """Databases that a read may be sent to.

    Parameters
    ----------
    replicas, primary : bool
        Whether replicas and the primary may serve the read.
    max_age_s : float or None
        Maximum age of the data on a replica, in seconds, reduced by the time
        without a lease.
    """

    replicas: bool
    primary: bool
    max_age_s: float | None


def lease_expired_error() -> RequestError:
    """Return the error for a request that requires the daemon lease."""
    return RequestError(
        ErrorCode.LEASE_EXPIRED,
        'the lease of this entry VM has expired',
        retry_after_s=1.0,
    )


def check_primary_lease(views: ViewSource) -> RequestError | None:
    """Return an error if the lease does not allow requests to a primary."""
    return (
        None if views.lease_state is LeaseState.HELD else lease_expired_error()
    )


def read_targets(
    views: ViewSource,
    *,
    is_open_route: bool,
    requires_primary: bool,
    max_age_s: float | None,
) -> Result[ReadTargets, RequestError]:
    """Return the databases that may serve a read in the current lease state.

    Parameters
    ----------
    is_open_route : bool
        Whether the route allows requests without an API key.
    requires_primary : bool
        Whether the read must see the latest data.
    max_age_s : float or None
        Maximum age of the data that the caller or the route accepts, in
        seconds.
    """
    state = views.lease_state
    if state is LeaseState.HELD:
        return Success(ReadTargets(not requires_primary, True, max_age_s))
    if requires_primary:
        return Failure(lease_expired_error())
    if state is LeaseState.LAPSED and not (
        is_open_route and max_age_s is not None
    ):
        return Failure(lease_expired_error())
    if max_age_s is not None:
        # A replica that follows an isolated primary considers itself up to
        # date. The time without a lease bounds how old its data can be.
        max_age_s -= views.time_since_lease_s
        if max_age_s <= 0:
            return Failure(lease_expired_error())
    return Success(ReadTargets(True, False, max_age_s))
