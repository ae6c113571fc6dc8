"""Weights of requests in the fair queues."""

import math

from siskinsail_catalogue import MAX_WEIGHT
from siskinsail_types import ServiceClass

# Weight of requests that may wait longer than those of callers: a quarter of
# the weight of a bronze account. It is the smallest weight of a request.
BACKGROUND_WEIGHT = 0.25
# Largest weight that a client account can have.
MAX_REQUEST_WEIGHT = float(MAX_WEIGHT * ServiceClass.GOLD.weight)


def bounded_weight(weight: float) -> float:
    """Return the weight that a request has in a queue.

    The catalogue contains positive weights only, but a request of another
    daemon may state any number, and 0 if it states none. A queue serves
    requests of all weights, so a weight that is no positive number counts as
    the smallest one. Other weights are limited on both sides: an extreme one
    would make the tags of all accounts equal, and end the fairness of the
    queue for good.
    """
    if not math.isfinite(weight):
        return BACKGROUND_WEIGHT
    return min(max(weight, BACKGROUND_WEIGHT), MAX_REQUEST_WEIGHT)
