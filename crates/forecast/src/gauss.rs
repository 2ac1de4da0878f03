//! Normal distributions in information form.

use std::ops;

/// A normal distribution as precision (inverse variance) and precision times mean, in which
/// independent evidence adds up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Gauss {
    pub precision: f64,
    pub sum: f64,
}

impl Gauss {
    /// A distribution with the mean and the variance.
    pub fn new(mean: f64, var: f64) -> Self {
        let precision = 1.0 / var;
        Self {
            precision,
            sum: precision * mean,
        }
    }

    /// Mean, or zero without evidence.
    pub fn mean(self) -> f64 {
        if self.precision > 0.0 {
            self.sum / self.precision
        } else {
            0.0
        }
    }

    /// Variance, infinite without evidence.
    pub fn var(self) -> f64 {
        1.0 / self.precision.max(0.0)
    }

    /// The same mean with the precision multiplied by `weight`.
    pub fn scaled(self, weight: f64) -> Self {
        Self {
            precision: self.precision * weight,
            sum: self.sum * weight,
        }
    }

    /// The same mean with at most the precision `limit`.
    pub fn limited(self, limit: f64) -> Self {
        if self.precision > limit {
            self.scaled(limit / self.precision)
        } else {
            self
        }
    }

    /// The same precision with the mean moved by `delta`.
    pub fn shifted(self, delta: f64) -> Self {
        Self {
            precision: self.precision,
            sum: self.sum + self.precision * delta,
        }
    }
}

impl ops::Add for Gauss {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            precision: self.precision + rhs.precision,
            sum: self.sum + rhs.sum,
        }
    }
}

impl ops::AddAssign for Gauss {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl ops::Sub for Gauss {
    type Output = Self;

    /// Removes evidence that was added before. Rounding never leaves a negative precision.
    fn sub(self, rhs: Self) -> Self {
        Self {
            precision: (self.precision - rhs.precision).max(1e-9),
            sum: self.sum - rhs.sum,
        }
    }
}
