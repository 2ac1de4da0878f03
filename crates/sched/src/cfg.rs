//! Settings of the scheduler process, with all defaults.

use std::net;

use base::{clock::Millis, name::Name};
use lease::lease_cfg::LeaseCfg;
use serde::{Deserialize, Serialize};
use settings::{CfgError, check_less, invalid_value};

/// Settings of the scheduler process.
///
/// ```
/// let cfg = sched::cfg::read("{ shard: 'north' /* one data centre */ }").unwrap();
/// assert_eq!(cfg.shard.as_str(), "north");
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Settings {
    /// Address of the platform: table service, object store and VM list.
    pub platform: net::SocketAddr,
    /// Address of the listener for other processes of buckthorncove.
    pub wire: net::SocketAddr,
    /// Address of the HTTP listener for `/ready`, `/dump` and `/metrics`.
    pub http: net::SocketAddr,
    /// Data centre of this process.
    pub data_centre: Name,
    /// Shard whose lease the process competes for.
    pub shard: Name,
    /// Settings of the lease.
    pub lease: LeaseCfg,
    /// Settings of commits.
    pub commit: CommitCfg,
    /// Settings of job records.
    pub jobs: JobsCfg,
    /// Settings of the communication with workers.
    pub workers: WorkersCfg,
    /// Settings of configuration changes.
    pub config: ConfigCfg,
    /// Settings of membership rows.
    pub members: MembersCfg,
}

/// Settings of commits.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct CommitCfg {
    /// Maximum number of records in one transaction.
    pub batch: usize,
    /// Maximum number of records that wait for a commit; further requests are refused.
    pub backlog: usize,
    /// Maximum number of records written per second.
    pub writes_per_s: u32,
    /// Maximum number of records written per second after an outage until the backlog is written.
    /// Together with lease and membership rows it must stay within 200 writes per second.
    pub recovery_writes_per_s: u32,
    /// Time after which a transaction with an unknown outcome counts as an outage.
    pub stuck_ms: Millis,
    /// Pause before a failed transaction is retried.
    pub retry_ms: Millis,
}

/// Settings of job records.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct JobsCfg {
    /// Retention time of the records of ended jobs.
    pub keep_ms: Millis,
    /// Maximum number of records removed per second.
    pub removals_per_s: usize,
    /// Interval at which the leader stores the ages of rows. A change of leader makes all rows, also
    /// claims, appear younger by up to this time.
    pub ages_ms: Millis,
}

/// Settings of the communication with workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct WorkersCfg {
    /// Interval between reads of the VM list.
    pub list_ms: Millis,
    /// Maximum interval between renewals of task leases.
    pub renew_ms: Millis,
    /// Duration of a task lease.
    pub task_lease_ms: Millis,
    /// Pause before a failed call is retried.
    pub retry_ms: Millis,
    /// Timeout of a call.
    pub timeout_ms: Millis,
    /// Time without an answer after which a worker gets no new work and its gangs are moved.
    pub suspect_ms: Millis,
}

/// Settings of configuration changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ConfigCfg {
    /// Time for which a process serves after its last confirmation of the configuration.
    pub serving_lease_ms: Millis,
    /// Pause between pushes to a member that has not acknowledged a revision.
    pub push_ms: Millis,
    /// Maximum wait for acknowledgements before a change is answered with `outcome_unknown`.
    pub accept_ms: Millis,
}

/// Settings of membership rows.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct MembersCfg {
    /// Interval between renewals of this process's own row.
    pub renew_ms: Millis,
    /// Time without a renewal after which the leader removes a row.
    pub remove_ms: Millis,
    /// Interval between reads of all rows.
    pub list_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        let local = net::IpAddr::V4(net::Ipv4Addr::LOCALHOST);
        Self {
            platform: (local, 7_100).into(),
            wire: (local, 0).into(),
            http: (local, 0).into(),
            data_centre: "local".parse().expect("a constant name"),
            shard: "main".parse().expect("a constant name"),
            lease: LeaseCfg::default(),
            commit: CommitCfg::default(),
            jobs: JobsCfg::default(),
            workers: WorkersCfg::default(),
            config: ConfigCfg::default(),
            members: MembersCfg::default(),
        }
    }
}

impl Default for CommitCfg {
    fn default() -> Self {
        Self {
            batch: 100,
            backlog: 20_000,
            writes_per_s: 600,
            recovery_writes_per_s: 180,
            stuck_ms: Millis(1_000),
            retry_ms: Millis(100),
        }
    }
}

impl Default for JobsCfg {
    fn default() -> Self {
        Self {
            keep_ms: Millis::from_secs(7 * 24 * 3_600),
            removals_per_s: 20,
            ages_ms: Millis(60_000),
        }
    }
}

impl Default for WorkersCfg {
    fn default() -> Self {
        Self {
            list_ms: Millis(500),
            renew_ms: Millis(1_000),
            task_lease_ms: Millis(30_000),
            retry_ms: Millis(250),
            timeout_ms: Millis(1_000),
            suspect_ms: Millis(3_000),
        }
    }
}

impl Default for ConfigCfg {
    fn default() -> Self {
        Self {
            serving_lease_ms: Millis(2_000),
            push_ms: Millis(100),
            accept_ms: Millis(10_000),
        }
    }
}

impl Default for MembersCfg {
    fn default() -> Self {
        Self {
            renew_ms: Millis(2_000),
            remove_ms: Millis(10_000),
            list_ms: Millis(1_000),
        }
    }
}

/// Reads settings from JSON with comments; omitted values have their defaults.
///
/// # Errors
///
/// Returns the path and the value of the first invalid value, and what was expected.
///
/// ```
/// let e = sched::cfg::read("{ lease: { hold_ms: 9000 } }").unwrap_err();
/// assert!(e.to_string().contains("lease.hold_ms: invalid value 9000: must be less than"));
/// ```
pub fn read(text: &str) -> Result<Settings, CfgError> {
    let cfg: Settings = settings::read(text)?;
    check(&cfg)?;
    Ok(cfg)
}

fn check(cfg: &Settings) -> Result<(), CfgError> {
    let (lease, commit) = (&cfg.lease, &cfg.commit);
    check_less(
        "lease.renew_ms",
        lease.renew_ms,
        "lease.hold_ms",
        lease.hold_ms,
    )?;
    check_less(
        "lease.hold_ms",
        lease.hold_ms,
        "lease.take_ms",
        lease.take_ms,
    )?;
    check_less(
        "lease.look_ms",
        lease.look_ms,
        "lease.take_ms",
        lease.take_ms,
    )?;
    let workers = &cfg.workers;
    check_less(
        "workers.renew_ms",
        workers.renew_ms,
        "workers.task_lease_ms",
        workers.task_lease_ms,
    )?;
    check_less(
        "members.list_ms",
        cfg.members.list_ms,
        "half of members.remove_ms",
        Millis(cfg.members.remove_ms.0 / 2),
    )?;
    for (path, value) in [
        ("commit.batch", commit.batch as u64),
        ("commit.backlog", commit.backlog as u64),
        ("commit.writes_per_s", u64::from(commit.writes_per_s)),
        (
            "commit.recovery_writes_per_s",
            u64::from(commit.recovery_writes_per_s),
        ),
        ("lease.renew_ms", lease.renew_ms.0),
        ("lease.look_ms", lease.look_ms.0),
        ("workers.list_ms", workers.list_ms.0),
        ("workers.renew_ms", workers.renew_ms.0),
        ("jobs.ages_ms", cfg.jobs.ages_ms.0),
        ("members.renew_ms", cfg.members.renew_ms.0),
        ("members.list_ms", cfg.members.list_ms.0),
        ("config.push_ms", cfg.config.push_ms.0),
    ] {
        if value == 0 {
            return Err(invalid_value(
                path,
                &value.into(),
                "must be at least 1".into(),
            ));
        }
    }
    Ok(())
}
