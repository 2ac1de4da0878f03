//! Parameters of the plan.

use base::clock::Millis;

/// Parameters of the plan that are not part of the operators' configuration.
///
/// ```
/// let cfg = plan::plan_cfg::PlanCfg::default();
/// assert_eq!(cfg.policy, plan::plan_cfg::Policy::Full);
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlanCfg {
    /// Placement policy.
    pub policy: Policy,
    /// Time after which an unconfirmed order is sent again.
    pub resend_after: Millis,
    /// Time without a report after which the order of a running member is sent again. The worker
    /// then repeats its last report, so that a lost report does not block the accelerators of the
    /// gang for ever.
    pub poll_after: Millis,
    /// Time after which an attempt is abandoned if not all members confirmed the hold.
    pub hold_limit: Millis,
    /// Time after a restore until a worker that was not reported counts as lost. It is longer than
    /// the lease of a task, so that the tasks of the worker have stopped by then.
    pub absent_limit: Millis,
    /// Time for which a worker that missed a hold gets no new members. It doubles with each
    /// consecutive miss, up to 32 times this value.
    pub hold_backoff: Millis,
    /// Maximum number of records in the decision of a tick or a placement; the rest follows in
    /// later decisions.
    pub max_records: usize,
    /// Maximum number of placement searches in one decision; the rest follows in later decisions.
    pub max_tries: usize,
    /// Wait after which a claim that is not urgent stops borrowed work. Before that, it only uses
    /// capacity that becomes free.
    pub reclaim_after: Millis,
    /// Wait after which workers are held back for a large gang at fragmentation weight 0; a tenth
    /// of it applies at weight 1.
    pub starve_after: Millis,
    /// Time for which a member may use more than its charged memory before its job is stopped.
    pub throttle_limit: Millis,
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
        }
    }
}

/// Policy by which workers are chosen for a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// First come, first served, on the first workers that fit. A baseline for benchmarks.
    FirstFit,
    /// Best fit without workers held back for starving gangs. A baseline for benchmarks.
    BestFit,
    /// Best fit with workers held back for starving gangs and bounded backfill.
    Full,
}
