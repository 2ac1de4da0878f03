//! Outages and slow responses of the table service.

mod cluster;

use base::clock::{self, Millis};
use cluster::{Cluster, cancel, history, job, submit};
use schema::job::Phase;
use standin::{faults::Faults, worker::Worker, worker_cfg::Behaviour};
use wire::message::{Effect, Reply, Request};

/// Starts a cluster whose task leases are shorter than the outages in the tests.
fn cluster(workers: usize) -> Cluster {
    let mut cluster = Cluster::new(workers, 0);
    cluster.add_scheduler(|cfg| {
        cluster::fast_lease(cfg);
        cfg.workers.task_lease_ms = Millis(2_000);
        cfg.workers.renew_ms = Millis(250);
        cfg.workers.suspect_ms = Millis(1_000);
    });
    cluster
}

fn down() -> Faults {
    Faults {
        outage: true,
        ..Faults::default()
    }
}

/// Guards against gangs that stop because the holder can't renew its own lease, and against an
/// accepted job that is not in the table.
#[ntex::test]
async fn gangs_keep_running_and_nothing_is_accepted() {
    let cluster = cluster(2);
    let client = cluster.configure().await;
    submit(&client, job("a", 2, 4)).await;
    cluster.wait_for_running("a", 2).await;
    cluster.platform.set_faults(down());
    cluster::pause(4_500).await;
    assert_eq!(cluster.running("a"), 2);
    for request in [
        Request::Submit {
            job: job("b", 1, 1),
        },
        cancel("a"),
    ] {
        let answer = client.call(&request).await.unwrap();
        let Reply::Failed { done, .. } = answer else {
            panic!("{answer:?}")
        };
        assert_eq!(done, Effect::None);
    }
    cluster.platform.set_faults(Faults::default());
    submit(&cluster.client().await, job("c", 1, 1)).await;
    cluster.wait_for_running("c", 1).await;
    assert!(cluster.record("b").is_none());
    assert_eq!(
        (cluster.running("a"), cluster.record("a").unwrap().attempt),
        (2, 1)
    );
    history::check(&cluster, &[]);
}

/// Guards against a submission that waits although the table accepts no writes.
#[ntex::test]
async fn submissions_are_refused_while_a_transaction_is_open() {
    let mut cluster = Cluster::new(1, 0);
    cluster.add_scheduler(|cfg| cfg.commit.stuck_ms = Millis(300));
    let client = cluster.configure().await;
    cluster.platform.set_faults(down());
    let first = Request::Submit {
        job: job("a", 1, 1),
    };
    let second = async {
        cluster::pause(1_000).await;
        let start = clock::now();
        let request = Request::Submit {
            job: job("b", 1, 1),
        };
        (
            client.call(&request).await.unwrap(),
            clock::now().since(start),
        )
    };
    let (first, (second, took)) = tokio::join!(client.call(&first), second);
    assert!(
        matches!(
            first,
            Ok(Reply::Failed {
                done: Effect::Maybe,
                ..
            })
        ),
        "{first:?}"
    );
    assert!(
        matches!(
            second,
            Reply::Failed {
                done: Effect::None,
                ..
            }
        ),
        "{second:?}"
    );
    assert!(took < Millis(500), "refused after {took}");
}

/// Guards against gangs of which some members run for as long as the table is down. The second gang
/// loses a member when a transaction is already stuck.
#[ntex::test]
async fn gangs_with_a_lost_member_stop_during_an_outage() {
    let cluster = cluster(6);
    let client = cluster.configure().await;
    for name in ["a", "b"] {
        submit(&client, job(name, 3, 8)).await;
        cluster.wait_for_running(name, 3).await;
    }
    cluster.platform.set_faults(down());
    cluster::pause(1_500).await;
    let silent = Behaviour {
        silent: true,
        ..Behaviour::default()
    };
    for name in ["a", "b"] {
        let worker = &cluster.record(name).unwrap().members[0].worker;
        let index = (0..6).find(|i| cluster::worker_cfg(*i).info.name == *worker);
        cluster
            .workers
            .worker(index.unwrap())
            .set_behaviour(silent.clone());
        let start = clock::now();
        cluster.wait_for_running(name, 0).await;
        let took = clock::now().since(start);
        assert!(took < history::PART_LIMIT, "{name} stopped after {took}");
    }
    cluster.platform.set_faults(Faults::default());
    for worker in cluster.workers.workers() {
        worker.set_behaviour(Behaviour::default());
    }
    cluster.wait_for_running("a", 3).await;
    cluster.wait_for_running("b", 3).await;
    history::check(&cluster, &[]);
}

/// Guards against a burst of writes at the end of an outage.
#[ntex::test]
async fn the_backlog_is_written_within_200_writes_a_second() {
    const JOBS: usize = 320;
    let cluster = cluster(JOBS / 8);
    let client = cluster.configure().await;
    let behaviour = Behaviour {
        run_ms: Millis(6_000),
        ..Behaviour::default()
    };
    for worker in cluster.workers.workers() {
        worker.set_behaviour(behaviour.clone());
    }
    let calls = (0..JOBS).map(|i| {
        let client = client.clone();
        async move { submit(&client, job(&format!("job-{i}"), 1, 1)).await }
    });
    futures_util::future::join_all(calls).await;
    let phases = |phase| {
        let rows = cluster.platform.rows("job/");
        let text = format!("\"phase\":\"{phase}\"");
        rows.iter().filter(|r| r.value.contains(&text)).count()
    };
    cluster::eventually("all run", async || {
        (phases(Phase::Running) == JOBS).then_some(())
    })
    .await;
    cluster.platform.set_faults(down());
    cluster::eventually("all end", async || {
        let runs = cluster.workers.workers().iter().flat_map(Worker::history);
        (runs.filter(|r| r.ended_at.is_some()).count() == JOBS).then_some(())
    })
    .await;
    cluster::pause(1_500).await;
    cluster.platform.set_faults(Faults::default());
    let (mut samples, start) = (Vec::new(), clock::now());
    while phases(Phase::Done) < JOBS {
        samples.push((clock::now(), cluster.platform.stats().rows_written));
        assert!(clock::now().since(start) < cluster::LIMIT);
        cluster::pause(20).await;
    }
    let mut most = 0;
    for (at, before) in &samples {
        let later = samples
            .iter()
            .rev()
            .find(|s| s.0.since(*at) <= Millis(1_000));
        most = most.max(later.map_or(0, |s| s.1 - before));
    }
    println!("backlog of {JOBS} records: at most {most} rows per second");
    // Lease and membership rows, which are written beside the backlog, count as well.
    assert!(most <= 200, "{most} rows per second");
}

/// Guards against a slow table that makes only some members of a gang start, or makes a gang start
/// before its record is committed.
#[ntex::test]
async fn a_slow_table_only_delays_starts() {
    let cluster = cluster(4);
    let client = cluster.configure().await;
    cluster.platform.set_faults(Faults {
        slow_ms: Millis(400),
        ..Faults::default()
    });
    for i in 0..4 {
        submit(&client, job(&format!("job-{i}"), 2, 4)).await;
    }
    cluster::eventually("the last gang runs", async || {
        let started = cluster.running("job-3");
        let phase = cluster.record("job-3").unwrap().phase;
        assert!(
            started == 0 || phase == Phase::Running,
            "runs while {phase}"
        );
        (started == 2).then_some(())
    })
    .await;
    for i in 0..4 {
        cluster.wait_for_running(&format!("job-{i}"), 2).await;
    }
    let answer = client.call(&cancel("job-0")).await.unwrap();
    let answered = clock::now();
    assert!(matches!(answer, Reply::Job { .. }), "{answer:?}");
    cluster.wait_for_phase("job-0", Phase::Cancelled).await;
    history::check(&cluster, &[("job-0", answered)]);
}
