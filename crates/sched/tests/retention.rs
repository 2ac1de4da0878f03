//! Retention of job records and of claims.

mod cluster;

use base::clock::{self, Millis};
use claim::{
    fingerprint,
    record::{Answer, Record, State, claim_key},
};
use cluster::{Cluster, job, name};
use plan::record::{JobKey, JobRecord};
use sched::rows;
use schema::job::Phase;
use serde::Serialize;
use store::{
    client::Table,
    http::HttpTable,
    http_cfg::HttpCfg,
    table::{Key, Txn},
};

const DAY: Millis = Millis::from_secs(24 * 3_600);

async fn put<T: Serialize>(cluster: &Cluster, key: Key, row: &T) {
    let url = cluster.platform.url();
    let table = HttpTable::new(&url, HttpCfg::default()).await.unwrap();
    let txn = Txn::default().put(key, serde_json::to_string(row).unwrap());
    Table::from(table).commit(&txn).await.unwrap();
}

fn claim(written_ms: Millis, state: State) -> Record {
    Record {
        fingerprint: fingerprint::of(&name("refund"), &name("pay"), b""),
        owner: 9,
        nonce: 1,
        written_ms,
        state,
    }
}

/// Guards against a payout that runs twice because a VM whose clock is behind wrote its claim.
#[ntex::test]
async fn a_claim_written_by_a_slow_clock_is_kept() {
    let cluster = Cluster::new(0, 1);
    cluster.leader().await;
    let paid = claim_key(&name("org"), "1-paid");
    let swept = claim_key(&name("org"), "2-swept");
    let behind = Millis(clock::wall().0 - 2 * DAY.0);
    let answer = Answer::new(200, "text/plain", b"paid".to_vec());
    put(
        &cluster,
        paid.clone(),
        &claim(behind, State::Completed(answer)),
    )
    .await;
    put(&cluster, swept.clone(), &claim(behind, State::InProgress)).await;
    cluster::eventually("the sweep has passed both claims", async || {
        let row = cluster.platform.row(&swept).unwrap();
        row.value.contains("unknown").then_some(())
    })
    .await;
    assert!(cluster.platform.row(&paid).is_some());
}

/// Guards against ages of rows that begin at zero with each change of leader.
#[ntex::test]
async fn the_ages_of_rows_are_stored_and_continued() {
    let mut cluster = Cluster::new(0, 0);
    let settings = |cfg: &mut sched::cfg::Settings| {
        cluster::fast_lease(cfg);
        cfg.jobs.ages_ms = Millis(100);
    };
    let elapsed = |cluster: &Cluster| {
        let row = cluster.platform.row("ages/main")?;
        let row: serde_json::Value = serde_json::from_str(&row.value).unwrap();
        row["elapsed_ms"].as_u64()
    };
    cluster.add_scheduler(settings);
    let before = cluster::eventually("the ages are stored", async || {
        elapsed(&cluster).filter(|ms| *ms >= 500)
    })
    .await;
    cluster.schedulers[0].kill();
    let version = cluster.platform.row("ages/main").unwrap().version;
    cluster.add_scheduler(settings);
    let after = cluster::eventually("another leader stores the ages", async || {
        let row = cluster.platform.row("ages/main").unwrap();
        (row.version > version).then(|| elapsed(&cluster).unwrap())
    })
    .await;
    assert!(after >= before, "{after} < {before}");
}

/// Guards against ended jobs that are unknown to callers, and so run again when they are submitted
/// again, because their end is dated by a slow clock or by a version without the field `ended_at`.
#[ntex::test]
async fn ended_jobs_are_kept_whatever_their_end_is_dated() {
    let mut cluster = Cluster::new(0, 0);
    let behind = Millis(clock::wall().0 - 8 * DAY.0);
    for (title, ended_at) in [("slow-clock", Some(behind)), ("old-version", None)] {
        let mut record = JobRecord::submitted(job(title, 1, 1), behind);
        record.phase = Phase::Done;
        let mut row = serde_json::to_value(&record).unwrap();
        match ended_at {
            Some(at) => row["ended_at"] = at.0.into(),
            None => drop(row.as_object_mut().unwrap().remove("ended_at")),
        }
        put(&cluster, rows::job_key(&key(title)), &row).await;
    }
    let (start, keep) = (clock::now(), Millis(4_000));
    cluster.add_scheduler(|cfg| cfg.jobs.keep_ms = keep);
    cluster::eventually("both are removed", async || {
        let rows = cluster.platform.rows("job/").len();
        assert!(rows == 2 || clock::now().since(start) >= keep);
        (rows == 0).then_some(())
    })
    .await;
}

fn key(job: &str) -> JobKey {
    JobKey {
        organisation: name("org"),
        name: name(job),
    }
}
