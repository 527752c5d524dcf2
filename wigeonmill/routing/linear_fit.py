"""Linear regression over recent samples with exponential decay."""


class LinearFit:
    """Exponentially weighted least squares of `y = intercept + slope * x`.

    Each new sample multiplies the weight of all earlier ones by `decay`. The
    prior line, given by `intercept` and `slope`, counts as `prior_weight`
    samples. Both coefficients are clamped to 0 or above.
    """

    __slots__ = (
        '_decay',
        '_weight',
        '_sum_x',
        '_sum_y',
        '_sum_xx',
        '_sum_xy',
        'samples',
    )

    def __init__(
        self,
        intercept: float,
        slope: float,
        typical_x: float,
        decay: float = 0.97,
        prior_weight: float = 2.0,
    ) -> None:
        self._decay = decay
        self._weight = 0.0
        self._sum_x = 0.0
        self._sum_y = 0.0
        self._sum_xx = 0.0
        self._sum_xy = 0.0
        self.samples = 0
        for x in (0.0, typical_x):
            self._add(x, intercept + slope * x, prior_weight / 2)

    def add(self, x: float, y: float) -> None:
        """Add one sample."""
        self.discount(self._decay)
        self._add(x, y, 1.0)
        self.samples += 1

    def discount(self, factor: float) -> None:
        """Multiply the weight of all earlier samples by `factor`."""
        self._weight *= factor
        self._sum_x *= factor
        self._sum_y *= factor
        self._sum_xx *= factor
        self._sum_xy *= factor

    def line(self) -> tuple[float, float]:
        """Return the intercept and the slope."""
        # Variance and covariance are multiplied by the squared total weight,
        # which cancels out in the slope.
        x_variance = self._weight * self._sum_xx - self._sum_x**2
        mean_y = self._sum_y / self._weight
        if x_variance <= 1e-9 * max(1.0, self._sum_x**2):
            return self._through_origin()
        covariance = self._weight * self._sum_xy - self._sum_x * self._sum_y
        slope = covariance / x_variance
        if slope < 0.0:
            return max(0.0, mean_y), 0.0
        intercept = mean_y - slope * self._sum_x / self._weight
        if intercept < 0.0:
            return self._through_origin()
        return intercept, slope

    def predict(self, x: float) -> float:
        """Return the fitted value at `x`."""
        intercept, slope = self.line()
        return intercept + slope * x

    def _through_origin(self) -> tuple[float, float]:
        if self._sum_xx <= 0.0:
            return max(0.0, self._sum_y / self._weight), 0.0
        return 0.0, max(0.0, self._sum_xy / self._sum_xx)

    def _add(self, x: float, y: float, weight: float) -> None:
        self._weight += weight
        self._sum_x += weight * x
        self._sum_y += weight * y
        self._sum_xx += weight * x * x
        self._sum_xy += weight * x * y
