"""Settings of the whole test run."""

from hypothesis import HealthCheck
from hypothesis import settings

# The same examples each run and no limit that depends on the machine's
# speed, so that CI gives one verdict.
settings.register_profile(
    'wigeonmill',
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('wigeonmill')
