//! Number of calls under way that follows how they are answered: additive increase, multiplicative
//! decrease.

use base::clock::Millis;

/// Bounds and steps of a [`Window`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowCfg {
    /// Number of calls under way before any is answered.
    pub(crate) initial: f64,
    /// Minimum number.
    pub(crate) min: f64,
    /// Maximum number.
    pub(crate) max: f64,
    /// Increase for as many prompt answers as there are calls under way.
    pub(crate) increase: f64,
    /// Factor of a decrease.
    pub(crate) decrease: f64,
}

/// Maximum number of calls under way.
#[derive(Debug)]
pub(crate) struct Window {
    cfg: WindowCfg,
    size: f64,
    /// Time of the last decrease; zero before the first one.
    decreased_at: Millis,
}

impl Window {
    pub(crate) const fn new(cfg: WindowCfg) -> Self {
        Self {
            cfg,
            size: cfg.initial,
            decreased_at: Millis::ZERO,
        }
    }

    pub(crate) const fn size(&self) -> usize {
        self.size as usize
    }

    pub(crate) const fn exact_size(&self) -> f64 {
        self.size
    }

    pub(crate) fn has_decreased(&self) -> bool {
        self.decreased_at != Millis::ZERO
    }

    /// Increases the size for a prompt answer.
    pub(crate) fn increase(&mut self) {
        self.grow(self.cfg.increase / self.size);
    }

    /// Increases the size for a prompt answer so that it doubles with each round.
    pub(crate) fn increase_fast(&mut self) {
        self.grow(1.0);
    }

    fn grow(&mut self, step: f64) {
        self.size = (self.size + step).min(self.cfg.max);
    }

    /// Decreases the size for a slow call that was sent at `sent`, once for all calls that were under
    /// way together. Returns whether it did.
    pub(crate) fn decrease(&mut self, sent: Millis, now: Millis) -> bool {
        if sent < self.decreased_at {
            return false;
        }
        self.size = (self.size * self.cfg.decrease).max(self.cfg.min);
        self.decreased_at = now;
        true
    }
}
