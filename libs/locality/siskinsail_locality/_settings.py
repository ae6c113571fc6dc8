"""Settings of the decision which reads leave the data centre."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from itertools import pairwise

from siskinsail_types import DataCentreId
from siskinsail_types import SettingsError


@dataclass(frozen=True)
class LocalitySettings:
    """Thresholds, steps and prices of leaving the data centre.

    The thresholds of the wait are shares of a latency objective. All daemons
    of a fleet must use equal thresholds: two data centres never send each
    other reads because the wait at which reads stop going to a database is
    the lowest wait at which reads of that database leave.

    Parameters
    ----------
    data_centre : DataCentreId
        Data centre of this daemon.
    regions : mapping
        Region of each data centre.
    region_price_s, data_centre_price_s : float
        Price of the bytes of a read that crosses the border of a region or
        of a data centre within the region, as the longest delay in seconds
        that is preferred to the crossing.
    roomy_wait_share, return_wait_share, leave_wait_share : float
        Shares of the latency objective. A database below the first may get
        more reads from elsewhere; between the second and the third, shares
        of reads that leave it are held; from the third on, they rise.
    roomy_refused_share, return_refused_share, leave_refused_share : float
        The same for the share of refused statements.
    primary_wait_factor : float
        Factor of the wait thresholds for reads on a near primary, so that
        statements that need the primary come first.
    step : float
        Change of a share at a time.
    rise_interval_s, fall_interval_s : float
        Minimum time between a change of a share and its next rise or fall,
        in seconds. It exceeds the age of the figures, so that a change has
        an effect on them before the next one.
    confirm_s : float
        Time for which figures must call for a rise before the first one, in
        seconds. It exceeds the age of the figures, so that a database whose
        reads begin to leave is no target of others any more.
    hold_s : float
        Time for which a share is held without figures before it falls, in
        seconds.
    max_share : float
        Maximum share of reads that leave. The others keep the figures of the
        near databases fresh.
    measurement_share : float
        Share of reads that are sent to databases without fresh figures while
        the near databases are overloaded.
    reads_on_near_primary : bool
        Whether reads may run on a primary in the own region that has room
        where the region has no replica.
    phase : float
        Initial value of the spreading of reads, from 0 to 1. It differs
        between daemons, so that they do not send their reads together.
    """

    data_centre: DataCentreId
    regions: Mapping[DataCentreId, str] = field(default_factory=dict)
    region_price_s: float = 0.02
    data_centre_price_s: float = 0.002
    roomy_wait_share: float = 0.05
    return_wait_share: float = 0.1
    leave_wait_share: float = 0.25
    roomy_refused_share: float = 0.002
    return_refused_share: float = 0.005
    leave_refused_share: float = 0.02
    primary_wait_factor: float = 0.5
    step: float = 0.05
    rise_interval_s: float = 2.0
    fall_interval_s: float = 4.0
    confirm_s: float = 2.0
    hold_s: float = 5.0
    max_share: float = 0.9
    measurement_share: float = 0.05
    reads_on_near_primary: bool = False
    phase: float = 0.0

    def __post_init__(self) -> None:
        """Check the order of the thresholds.

        Raises
        ------
        SettingsError
            If thresholds do not increase, since data centres could then send
            each other reads.
        """
        errors = []
        for name in ('wait_share', 'refused_share'):
            limits = [
                getattr(self, f'{level}_{name}')
                for level in ('roomy', 'return', 'leave')
            ]
            if not all(low < high for low, high in pairwise([0.0, *limits])):
                errors.append(f'{name}: {limits}; must increase from above 0')
        if not 0.0 < self.step <= 1.0:
            errors.append(f'step: {self.step}; must be above 0, at most 1')
        if errors:
            raise SettingsError(tuple(errors))
