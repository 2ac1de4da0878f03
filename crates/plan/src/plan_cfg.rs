//! Settings of the plan.

use base::clock::Millis;

/// Settings of the plan that are not part of the operators' configuration.
///
/// ```
/// let cfg = plan::plan_cfg::PlanCfg::default();
/// assert_eq!(cfg.policy, plan::plan_cfg::Policy::Full);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanCfg {
    /// Way of choosing places.
    pub policy: Policy,
    /// Time until an order without an answer is sent again.
    pub resend_after: Millis,
    /// Time after which a running member without a report is asked again; its worker repeats its
    /// last report, so a lost one does not keep the gang's accelerators for ever.
    pub poll_after: Millis,
    /// Time until a hold that not all members confirmed is given up.
    pub hold_limit: Millis,
    /// Time after a restore until a worker that was not reported counts as lost. It is longer
    /// than the lease of a task, so its tasks have stopped by then.
    pub absent_limit: Millis,
    /// Time for which a worker that did not hold gets no new member; doubled on repetition.
    pub hold_backoff: Millis,
    /// Most records in one decision of a tick or a placement; the rest follows in later ones.
    pub max_records: usize,
    /// Most searches for a place in one decision; the rest follows in later ones.
    pub max_tries: usize,
    /// Wait after which a claim that is not urgent stops borrowed work. Until then it uses what
    /// becomes free by itself.
    pub reclaim_after: Millis,
    /// Wait after which workers are held back for a large gang at weight 0; a tenth of it at
    /// weight 1.
    pub starve_after: Millis,
    /// Time for which a member may use more memory than it is charged with.
    pub throttle_limit: Millis,
    /// Time after a restore until jobs are compared with the known workers, which are reported
    /// one by one.
    pub fleet_grace: Millis,
}

impl Default for PlanCfg {
    fn default() -> Self {
        Self {
            policy: Policy::Full,
            resend_after: Millis(1_000),
            poll_after: Millis(30_000),
            hold_limit: Millis(4_000),
            absent_limit: Millis(45_000),
            hold_backoff: Millis(2_000),
            max_records: 200,
            max_tries: 16,
            reclaim_after: Millis(10_000),
            starve_after: Millis(120_000),
            throttle_limit: Millis(10_000),
            fleet_grace: Millis(10_000),
        }
    }
}

/// Way of choosing places.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// First come, first fit: strict order of arrival, first place that fits. A baseline.
    FirstFit,
    /// Best fit without holding back capacity for starving gangs. A baseline.
    BestFit,
    /// Best fit with capacity held back and bounded backfill.
    Full,
}
