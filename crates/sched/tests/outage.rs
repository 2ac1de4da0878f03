//! The table service is down or slow.

mod site;

use base::clock::{self, Millis};
use schema::job::Phase;
use site::{Site, cancel, history, job, submit};
use standin::{faults::Faults, worker::Worker, worker_cfg::Behaviour};
use wire::message::{Effect, Reply, Request};

/// A site whose task leases lapse within the outage of a test.
fn site(workers: usize) -> Site {
    let mut site = Site::new(workers, 0);
    site.add_sched(|cfg| {
        site::fast_lease(cfg);
        cfg.workers.task_lease_ms = Millis(2_000);
        cfg.workers.renew_ms = Millis(250);
        cfg.workers.suspect_ms = Millis(1_000);
    });
    site
}

fn down() -> Faults {
    Faults {
        outage: true,
        ..Faults::default()
    }
}

/// Guards against gangs that end because the holder can't renew its own lease, and against an
/// acceptance that the table does not have.
#[ntex::test]
async fn gangs_go_on_and_nothing_is_accepted() {
    let site = site(2);
    let client = site.configure().await;
    submit(&client, job("a", 2, 4)).await;
    site.wait_for_running("a", 2).await;
    site.platform.set_faults(down());
    site::pause(4_500).await;
    assert_eq!(site.running("a"), 2);
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
    site.platform.set_faults(Faults::default());
    submit(&site.client().await, job("c", 1, 1)).await;
    site.wait_for_running("c", 1).await;
    assert!(site.record("b").is_none());
    assert_eq!(
        (site.running("a"), site.record("a").unwrap().attempt),
        (2, 1)
    );
    history::check(&site, &[]);
}

/// Guards against a gang that runs in part for as long as the table is down.
#[ntex::test]
async fn a_gang_with_a_lost_member_stops_during_an_outage() {
    let site = site(3);
    let client = site.configure().await;
    submit(&client, job("a", 3, 8)).await;
    site.wait_for_running("a", 3).await;
    site.platform.set_faults(down());
    site::pause(1_500).await;
    let silent = Behaviour {
        silent: true,
        ..Behaviour::default()
    };
    site.workers.worker(2).set_behaviour(silent);
    let start = clock::now();
    site.wait_for_running("a", 0).await;
    let took = clock::now().since(start);
    assert!(took < history::PART_LIMIT, "the gang stopped after {took}");
    site.platform.set_faults(Faults::default());
    site.workers.worker(2).set_behaviour(Behaviour::default());
    site.wait_for_running("a", 3).await;
    history::check(&site, &[]);
}

/// Guards against a rush of writes at the end of an outage.
#[ntex::test]
async fn the_backlog_is_written_within_200_writes_a_second() {
    const JOBS: usize = 320;
    let site = site(JOBS / 8);
    let client = site.configure().await;
    let behaviour = Behaviour {
        run_ms: Millis(6_000),
        ..Behaviour::default()
    };
    for worker in site.workers.workers() {
        worker.set_behaviour(behaviour.clone());
    }
    let calls = (0..JOBS).map(|i| {
        let client = client.clone();
        async move { submit(&client, job(&format!("job-{i}"), 1, 1)).await }
    });
    futures_util::future::join_all(calls).await;
    let phases = |phase| {
        let rows = site.platform.rows("job/");
        let text = format!("\"phase\":\"{phase}\"");
        rows.iter().filter(|r| r.value.contains(&text)).count()
    };
    site::eventually("all run", async || {
        (phases(Phase::Running) == JOBS).then_some(())
    })
    .await;
    site.platform.set_faults(down());
    site::eventually("all end", async || {
        let runs = site.workers.workers().iter().flat_map(Worker::history);
        (runs.filter(|r| r.ended_at.is_some()).count() == JOBS).then_some(())
    })
    .await;
    site::pause(1_500).await;
    site.platform.set_faults(Faults::default());
    let (mut samples, start) = (Vec::new(), clock::now());
    while phases(Phase::Done) < JOBS {
        samples.push((clock::now(), site.platform.stats().rows_written));
        assert!(clock::now().since(start) < site::LIMIT);
        site::pause(20).await;
    }
    let mut most = 0;
    for (at, before) in &samples {
        let later = samples
            .iter()
            .rev()
            .find(|s| s.0.since(*at) <= Millis(1_000));
        most = most.max(later.map_or(0, |s| s.1 - before));
    }
    println!("backlog of {JOBS} records: at most {most} rows in a second");
    // Lease and membership rows are written beside the backlog.
    assert!(most <= 210, "{most} rows in a second");
}

/// Guards against a slow table that makes a gang start in part or twice.
#[ntex::test]
async fn a_slow_table_only_slows() {
    let site = site(4);
    let client = site.configure().await;
    site.platform.set_faults(Faults {
        slow_ms: Millis(400),
        ..Faults::default()
    });
    for i in 0..4 {
        submit(&client, job(&format!("job-{i}"), 2, 4)).await;
    }
    for i in 0..4 {
        site.wait_for_running(&format!("job-{i}"), 2).await;
    }
    let answer = client.call(&cancel("job-0")).await.unwrap();
    let answered = clock::now();
    assert!(matches!(answer, Reply::Job { .. }), "{answer:?}");
    site.wait_for_phase("job-0", Phase::Cancelled).await;
    history::check(&site, &[("job-0", answered)]);
}
