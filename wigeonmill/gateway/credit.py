"""Computes the credit that a request is expected to lose by its answer time.

A request earns its full credit if it is answered within its objective.
"""

import math

# Share of the credit that a late answer still earns.
LATE_CREDIT_SHARE = 0.2
# Share of the credit that is lost if older weights produce the answer.
OLD_WEIGHTS_COST = 0.2
# Error of the expected time in either direction, as a share of the objective.
ESTIMATE_ERROR_SHARE = 0.15
# Share of the objective that the expected time may use. The rest is reserved
# for the network path to the caller and for delays that the estimate does not
# cover.
USABLE_SHARE = 0.8
# Cost of an expected time of one whole objective, so that the faster target
# wins among those that all answer in time.
TIME_COST = 0.05


def lateness_cost(
    expected_ms: float, remaining_ms: float, objective_ms: float
) -> float:
    """Return the expected loss as a share of the credit.

    `remaining_ms` is the time until the objective is missed; at 0 or less it
    is missed already.
    """
    if objective_ms <= 0:
        return 0.0
    time_cost = TIME_COST * expected_ms / objective_ms
    if remaining_ms <= 0:
        return 1.0 - LATE_CREDIT_SHARE + time_cost
    error_ms = ESTIMATE_ERROR_SHARE * objective_ms
    excess = (expected_ms - USABLE_SHARE * remaining_ms) / error_ms
    late_probability = 1.0 / (1.0 + math.exp(-max(-30.0, min(30.0, excess))))
    return late_probability * (1.0 - LATE_CREDIT_SHARE) + time_cost
