//! Takeovers between schedulers that are killed, frozen, cut off from the table or stopped.

mod cluster;

use std::{net, thread, time::Duration};

use base::clock;
use cluster::{Cluster, fast_lease, history, job, relay::Relay, submit};
use sched::cfg::Settings;
use schema::job::Phase;
use standin::{faults::Faults, worker, worker_cfg::Behaviour};
use store::{client::Table, http::HttpTable, http_cfg::HttpCfg, table::Txn, vm::Vm};
use wire::{
    client::Client,
    message::{Reply, Request},
};

async fn cluster(workers: usize, schedulers: usize) -> (Cluster, Client) {
    let mut cluster = Cluster::new(workers, 0);
    for _ in 0..schedulers {
        cluster.add_scheduler(fast_lease);
    }
    let client = cluster.configure().await;
    (cluster, client)
}

fn fence(cluster: &Cluster) -> u64 {
    let row = cluster.platform.row("lease/main").unwrap();
    let row: lease::table::LeaseRow = serde_json::from_str(&row.value).unwrap();
    row.fence
}

/// Guards against a takeover that restarts gangs, or after which no gang can be placed.
#[ntex::test]
async fn gangs_survive_a_killed_scheduler() {
    let (mut cluster, client) = cluster(4, 3).await;
    submit(&client, job("a", 2, 8)).await;
    cluster.wait_for_running("a", 2).await;
    let leader = cluster.leader().await;
    cluster.schedulers[leader].kill();
    let client = cluster.client().await;
    submit(&client, job("b", 2, 8)).await;
    cluster.wait_for_running("b", 2).await;
    // A stop of the other gang would reach the workers within two renewals.
    cluster::pause(2_000).await;
    assert_eq!(
        (cluster.running("a"), cluster.record("a").unwrap().attempt),
        (2, 1)
    );
    assert_eq!(fence(&cluster), 2);
    history::check(&cluster, &[]);
}

/// Guards against a new holder that rebuilds its state from stale rows and so loses accepted jobs.
#[ntex::test]
async fn stale_reads_do_not_hide_jobs() {
    let (mut cluster, client) = cluster(2, 2).await;
    cluster.platform.set_faults(Faults {
        read_lag_ms: clock::Millis(3_000),
        ..Faults::default()
    });
    let leader = cluster.leader().await;
    submit(&client, job("a", 2, 8)).await;
    cluster.schedulers[leader].kill();
    let client = cluster.client().await;
    let reply = client.call(&cluster::status("a")).await;
    assert!(matches!(reply, Ok(Reply::Job { .. })), "{reply:?}");
    cluster.wait_for_running("a", 2).await;
    history::check(&cluster, &[]);
}

/// Guards against a takeover that takes much longer than the six seconds of the lease.
#[ntex::test]
async fn a_takeover_with_the_default_settings_takes_seven_seconds() {
    let mut cluster = Cluster::new(1, 2);
    let leader = cluster.leader().await;
    let start = clock::now();
    cluster.schedulers[leader].kill();
    cluster.leader().await;
    let took = clock::now().since(start);
    println!("takeover after a kill: {took}");
    assert!(
        took > clock::Millis(4_000) && took < clock::Millis(8_000),
        "{took}"
    );
}

/// Guards against a gang of which only some members run because its scheduler is killed between
/// the hold orders and the start orders.
#[ntex::test]
async fn gangs_start_whole_when_the_scheduler_is_killed_during_the_start() {
    let (mut cluster, _) = cluster(2, 1).await;
    cluster.platform.set_faults(Faults {
        slow_ms: clock::Millis(20),
        ..Faults::default()
    });
    for round in 0..6_u64 {
        let name = format!("job-{round}");
        let client = cluster.client().await;
        let request = Request::Submit {
            job: job(&name, 2, 1),
        };
        // The decisions and orders of a start follow one another within about 100 ms.
        let kill_after = cluster::pause(10 + 18 * round);
        let _ = tokio::join!(client.call(&request), async {
            kill_after.await;
            cluster.schedulers.last_mut().unwrap().kill();
        });
        cluster.add_scheduler(fast_lease);
        let client = cluster.client().await;
        submit(&client, job(&name, 2, 1)).await;
        cluster.wait_for_running(&name, 2).await;
    }
    history::check(&cluster, &[]);
}

/// Guards against a scheduler that acts after a freeze during which another one took over.
#[ntex::test]
async fn a_thawed_scheduler_does_not_act() {
    let (cluster, client) = cluster(2, 2).await;
    let old = cluster.leader().await;
    submit(&client, job("a", 1, 8)).await;
    cluster.wait_for_running("a", 1).await;
    cluster.schedulers[old].exec(|| thread::sleep(Duration::from_millis(3_500)));
    let request = Request::Submit {
        job: job("late", 1, 8),
    };
    let frozen = client.call(&request);
    let other = Client::new(cluster.schedulers[1 - old].addr());
    let takeover = cluster::eventually("the other leads", async || {
        let list = Request::Jobs {
            organisation: None,
            limit: 1,
        };
        matches!(other.call(&list).await, Ok(Reply::Jobs { .. })).then_some(())
    });
    let (answer, ()) = tokio::join!(frozen, takeover);
    assert!(!matches!(answer, Ok(Reply::Job { .. })), "{answer:?}");
    submit(&other, job("b", 1, 8)).await;
    cluster.wait_for_running("b", 1).await;
    assert!(cluster.record("late").is_none());
    assert_eq!(cluster.leader().await, 1 - old);
    history::check(&cluster, &[]);
}

/// Guards against a holder that continues to act without the table, and against gangs that stop
/// when it loses the lease.
#[ntex::test]
async fn a_scheduler_cut_off_from_the_table_stops_acting() {
    let mut cluster = Cluster::new(2, 0);
    let relay = Relay::new(cluster.platform.addr());
    let addr = relay.addr;
    cluster.add_scheduler(|cfg| {
        fast_lease(cfg);
        cfg.platform = addr;
    });
    let client = cluster.configure().await;
    submit(&client, job("a", 2, 8)).await;
    cluster.wait_for_running("a", 2).await;
    cluster.add_scheduler(fast_lease);
    relay.cut();
    cluster::eventually("the other leads", async || {
        (cluster.leader().await == 1).then_some(())
    })
    .await;
    let request = Request::Submit {
        job: job("late", 1, 1),
    };
    let answer = client.call(&request).await.unwrap();
    assert!(!matches!(answer, Reply::Job { .. }), "{answer:?}");
    relay.pass();
    let client = cluster.client().await;
    submit(&client, job("b", 1, 1)).await;
    assert_eq!(
        (cluster.running("a"), cluster.record("a").unwrap().attempt),
        (2, 1)
    );
    assert!(cluster.record("late").is_none());
    history::check(&cluster, &[]);
}

/// Guards against a holder that counts renewals whose answers are lost, or that drops a decision
/// which the table has committed.
#[ntex::test]
async fn lost_answers_are_resolved() {
    let (cluster, _) = cluster(4, 3).await;
    cluster.platform.set_faults(Faults {
        lost_answers: 0.3,
        lost_requests: 0.2,
        ..Faults::default()
    });
    for i in 0..20 {
        let request = Request::Submit {
            job: job(&format!("job-{i}"), 1, 1),
        };
        cluster::eventually("the job is accepted", async || {
            let client = cluster.client().await;
            matches!(client.call(&request).await, Ok(Reply::Job { .. })).then_some(())
        })
        .await;
    }
    cluster.platform.set_faults(Faults::default());
    for i in 0..20 {
        cluster
            .wait_for_phase(&format!("job-{i}"), Phase::Running)
            .await;
        cluster.wait_for_running(&format!("job-{i}"), 1).await;
    }
    history::check(&cluster, &[]);
}

/// Guards against a delayed copy of a transaction that overwrites a later transaction.
#[ntex::test]
async fn a_late_copy_does_not_undo_a_later_decision() {
    let mut cluster = Cluster::new(1, 0);
    let relay = Relay::new(cluster.platform.addr());
    let addr = relay.addr;
    cluster.add_scheduler(|cfg| cfg.platform = addr);
    let client = cluster.configure().await;
    // The first change of the configuration may have met a conflict on the member list.
    let conflicts = cluster.platform.stats().conflicts;
    // Longer than the timeout of the table's client, which then sends the transaction again.
    relay.slow(3_200);
    let request = Request::Submit {
        job: job("a", 1, 1),
    };
    let (answer, ()) = tokio::join!(client.call(&request), async {
        cluster::pause(100).await;
        relay.pass();
    });
    assert!(matches!(answer, Ok(Reply::Job { .. })), "{answer:?}");
    client.call(&cluster::cancel("a")).await.unwrap();
    cluster.wait_for_phase("a", Phase::Cancelled).await;
    let before = cluster.platform.stats().commits;
    assert_eq!(
        cluster.platform.stats().conflicts,
        conflicts,
        "the copy arrived too early"
    );
    cluster::eventually("the late copy arrives", async || {
        let stats = cluster.platform.stats();
        (stats.conflicts > conflicts || stats.commits > before + 4).then_some(())
    })
    .await;
    assert_eq!(cluster.record("a").unwrap().phase, Phase::Cancelled);
}

/// Guards against a planned stop that drops requests or lets the lease lapse.
#[ntex::test]
async fn a_planned_stop_hands_over_at_once() {
    let mut cluster = Cluster::new(2, 2);
    let client = cluster.configure().await;
    let leader = cluster.leader().await;
    let mut stopping = std::mem::take(&mut cluster.schedulers);
    let mut old = stopping.remove(leader);
    cluster.schedulers = stopping;
    let start = clock::now();
    let stop = thread::spawn(move || old.stop());
    let answer = client
        .call(&Request::Submit {
            job: job("a", 1, 1),
        })
        .await;
    cluster.leader().await;
    let took = clock::now().since(start);
    stop.join().unwrap();
    // The lease lapses after six seconds.
    assert!(took < clock::Millis(4_000), "the hand-over took {took}");
    if matches!(answer, Ok(Reply::Job { .. })) {
        cluster.wait_for_running("a", 1).await;
    }
    assert!(cluster.platform.rows("member/").len() == 1);
}

/// Guards against a job record that ends the leadership of each scheduler that loads it.
#[ntex::test]
async fn a_malformed_job_record_ends_no_leadership() {
    let (mut cluster, client) = cluster(2, 2).await;
    submit(&client, job("a", 1, 8)).await;
    cluster.wait_for_running("a", 1).await;
    let url = cluster.platform.url();
    let table = HttpTable::new(&url, HttpCfg::default()).await.unwrap();
    let txn = Txn::default().put("job/org/b", r#"{"job":null}"#.into());
    Table::from(table).commit(&txn).await.unwrap();
    let leader = cluster.leader().await;
    cluster.schedulers[leader].kill();
    let client = cluster.client().await;
    submit(&client, job("c", 1, 8)).await;
    cluster.wait_for_running("c", 1).await;
    assert_eq!((cluster.running("a"), cluster.running("c")), (1, 1));
    let reply = client
        .call(&Request::Submit {
            job: job("b", 1, 1),
        })
        .await;
    let Ok(Reply::Failed { code, .. }) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(&*code, "job_unreadable");
}

/// Guards against a gang that a former leader keeps running behind a partition while the next
/// leader starts it again elsewhere.
#[ntex::test]
async fn a_gang_cut_off_together_with_its_leader_does_not_run_twice() {
    let short = |cfg: &mut Settings| {
        fast_lease(cfg);
        cfg.workers.task_lease_ms = clock::Millis(2_000);
    };
    let mut cluster = Cluster::new(1, 0);
    let table = Relay::new(cluster.platform.addr());
    cluster.add_scheduler(|cfg| {
        short(cfg);
        cfg.platform = table.addr;
    });
    let client = cluster.configure().await;
    submit(&client, job("a", 1, 8)).await;
    cluster.wait_for_running("a", 1).await;
    let other = worker::start_all(vec![cluster::worker_cfg(1)]).unwrap();
    let cut_off = Relay::new(cluster.workers.addrs()[0]);
    cut_off.cut();
    table.cut();
    let mut vms = cluster.vms();
    vms[0].address = cut_off.addr;
    vms.push(Vm {
        name: cluster::worker_cfg(1).info.name,
        address: other.addrs()[0],
        ..vms[0].clone()
    });
    cluster.platform.set_vms(vms);
    cluster.add_scheduler(short);
    cluster::eventually("the gang runs on the other worker", async || {
        let runs = other.workers()[0].history();
        runs.iter().any(|r| r.ended_at.is_none()).then_some(())
    })
    .await;
    assert_eq!(
        cluster.running("a"),
        0,
        "the gang also runs on its first worker"
    );
}

/// Guards against a gang that waits for the end of a former leader although the members know that
/// it has been replaced.
#[ntex::test]
async fn a_gang_lost_together_with_its_leader_starts_again() {
    let mut cluster = Cluster::new(2, 0);
    for _ in 0..3 {
        cluster.add_scheduler(|cfg| {
            fast_lease(cfg);
            cfg.workers.task_lease_ms = clock::Millis(2_000);
        });
    }
    let client = cluster.configure().await;
    submit(&client, job("a", 1, 8)).await;
    cluster.wait_for_running("a", 1).await;
    wait_for_voters(&cluster, 3).await;
    let worker = &cluster.record("a").unwrap().members[0].worker;
    let lost = usize::from(*worker != cluster::worker_cfg(0).info.name);
    let silent = Behaviour {
        silent: true,
        ..Behaviour::default()
    };
    cluster.workers.worker(lost).set_behaviour(silent);
    let leader = cluster.leader().await;
    cluster.schedulers[leader].kill();
    cluster::eventually("the gang runs on the other worker", async || {
        let runs = cluster.workers.worker(1 - lost).history();
        runs.iter().any(|r| r.ended_at.is_none()).then_some(())
    })
    .await;
    assert_eq!(cluster.running("a"), 1);
    history::check(&cluster, &[]);
}

/// Guards against a leader that was frozen during a takeover, is thawed without the table and keeps
/// a gang running that the next leader starts again elsewhere.
#[ntex::test]
async fn a_leader_thawed_without_the_table_renews_no_task_leases() {
    let short = |cfg: &mut Settings| {
        fast_lease(cfg);
        cfg.workers.task_lease_ms = clock::Millis(4_000);
        // Otherwise the thawed leader takes the worker for silent and stops the gang itself.
        cfg.workers.suspect_ms = clock::Millis(5_000);
    };
    let mut cluster = Cluster::new(1, 0);
    let table = Relay::new(cluster.platform.addr());
    cluster.add_scheduler(|cfg| {
        short(cfg);
        cfg.platform = table.addr;
    });
    let client = cluster.configure().await;
    submit(&client, job("a", 1, 8)).await;
    cluster.wait_for_running("a", 1).await;
    cluster.add_scheduler(short);
    cluster.add_scheduler(short);
    wait_for_voters(&cluster, 3).await;
    let other = worker::start_all(vec![cluster::worker_cfg(1)]).unwrap();
    let cut_off = Relay::new(cluster.workers.addrs()[0]);
    cut_off.cut();
    table.cut();
    // Longer than a takeover and shorter than a task lease.
    cluster.schedulers[0].exec(|| thread::sleep(Duration::from_millis(2_500)));
    set_vms(&cluster, cut_off.addr, &other);
    cluster::eventually("the gang runs on the other worker", async || {
        let runs = other.workers()[0].history();
        runs.iter().any(|r| r.ended_at.is_none()).then_some(())
    })
    .await;
    assert_eq!(cluster.running("a"), 0);
}

async fn wait_for_voters(cluster: &Cluster, count: usize) {
    cluster::eventually("the voters are stored", async || {
        let row = cluster.platform.row("voters/main")?;
        let row: sched::voters::VotersRow = serde_json::from_str(&row.value).unwrap();
        (row.voters.len() == count).then_some(())
    })
    .await;
}

/// Lists the first worker at another address, and a second worker.
fn set_vms(cluster: &Cluster, first: net::SocketAddr, second: &worker::Handle) {
    let mut vms = cluster.vms();
    vms[0].address = first;
    vms.push(Vm {
        name: cluster::worker_cfg(1).info.name,
        address: second.addrs()[0],
        ..vms[0].clone()
    });
    cluster.platform.set_vms(vms);
}
