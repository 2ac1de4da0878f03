//! End-to-end tests from requests to tasks on the workers.

mod cluster;

use base::clock::{self, Millis};
use cluster::{Cluster, cancel, history, job, relay::Relay, submit};
use schema::job::Phase;
use store::vm::VmState;
use wire::message::{Effect, Reply, Request};

/// Guards against a gang of which only some members start, and against an undetected end.
#[ntex::test]
async fn a_gang_starts_whole_and_is_cancelled_whole() {
    let cluster = Cluster::new(4, 1);
    let client = cluster.configure().await;
    let status = submit(&client, job("a", 4, 8)).await;
    assert!(!status.phase.is_final(), "{status:?}");
    cluster.wait_for_running("a", 4).await;
    let reply = client.call(&cancel("a")).await.unwrap();
    assert!(matches!(reply, Reply::Job { .. }), "{reply:?}");
    cluster.wait_for_phase("a", Phase::Cancelled).await;
    assert_eq!(cluster.running("a"), 0);
}

/// Guards against a repeated submission that creates a second job, or that hides a conflict.
#[ntex::test]
async fn submitting_again_is_safe() {
    let cluster = Cluster::new(1, 1);
    let client = cluster.configure().await;
    submit(&client, job("a", 1, 1)).await;
    submit(&client, job("a", 1, 1)).await;
    let request = Request::Submit {
        job: job("a", 1, 2),
    };
    let Ok(Reply::Failed { code, done, .. }) = client.call(&request).await else {
        panic!("a job with other content was accepted under the same name")
    };
    assert_eq!((code.as_str(), done), ("job_conflict", Effect::None));
    assert_eq!(cluster.platform.rows("job/").len(), 1);
}

/// Guards against a refused request that leaves a job record.
#[ntex::test]
async fn unknown_names_are_refused_without_effect() {
    let cluster = Cluster::new(1, 1);
    let client = cluster.configure().await;
    let mut unknown = job("a", 1, 1);
    unknown.team = cluster::name("nobody");
    let reply = client.call(&Request::Submit { job: unknown }).await;
    let Ok(Reply::Failed { code, .. }) = reply else {
        panic!("{reply:?}")
    };
    assert_eq!(code, "unknown_team");
    let reply = client.call(&cancel("missing")).await;
    assert!(matches!(reply, Ok(Reply::Failed { code, .. }) if code == "unknown_job"));
    assert!(cluster.platform.rows("job/").is_empty());
}

/// Guards against a job that starts after its cancellation was answered, and against accelerators
/// that two tasks use when many gangs start and stop.
#[ntex::test]
async fn a_burst_with_cancellations_has_no_late_starts() {
    let cluster = Cluster::new(8, 1);
    let client = cluster.configure().await;
    let names: Vec<String> = (0..200).map(|i| format!("job-{i}")).collect();
    let calls = names.iter().enumerate().map(|(i, name)| {
        let client = client.clone();
        async move {
            submit(&client, job(name, 1 + i as u16 % 3, 1 + i as u16 % 4)).await;
            if i % 2 == 0 {
                let reply = client.call(&cancel(name)).await;
                assert!(matches!(reply, Ok(Reply::Job { .. })), "{reply:?}");
            }
            clock::now()
        }
    });
    let answered = futures_util::future::join_all(calls).await;
    let cancelled = names.iter().zip(&answered).step_by(2);
    let cancelled: Vec<_> = cancelled.map(|(name, at)| (name.as_str(), *at)).collect();
    for (name, _) in &cancelled {
        cluster.wait_for_phase(name, Phase::Cancelled).await;
    }
    cluster.wait_for_running("job-1", 2).await;
    history::check(&cluster, &cancelled);
}

/// Guards against a start that reaches a worker after the cancellation was answered.
#[ntex::test]
async fn a_start_under_way_delays_the_answer_to_a_cancellation() {
    let cluster = Cluster::new(1, 1);
    let relay = Relay::new(cluster.workers.addr());
    let mut vms = cluster.vms();
    vms[0].address = relay.addr;
    cluster.platform.set_vms(vms);
    let client = cluster.configure().await;
    relay.slow(300);
    submit(&client, job("a", 1, 1)).await;
    cluster.wait_for_phase("a", Phase::Running).await;
    assert_eq!(cluster.running("a"), 0);
    let reply = client.call(&cancel("a")).await;
    let answered = clock::now();
    assert!(matches!(reply, Ok(Reply::Job { .. })), "{reply:?}");
    cluster.wait_for_phase("a", Phase::Cancelled).await;
    history::check(&cluster, &[("a", answered)]);
}

/// Guards against gangs that stay on a leaving worker.
#[ntex::test]
async fn gangs_move_off_a_leaving_worker() {
    let cluster = Cluster::new(3, 1);
    let client = cluster.configure().await;
    submit(&client, job("a", 1, 8)).await;
    cluster.wait_for_running("a", 1).await;
    let worker = cluster.record("a").unwrap().members[0].worker.clone();
    let mut vms = cluster.vms();
    for vm in &mut vms {
        if vm.name == worker {
            vm.state = VmState::Leaving;
        }
    }
    cluster.platform.set_vms(vms);
    cluster::eventually("the job runs on another worker", async || {
        let record = cluster.record("a").unwrap();
        let elsewhere = record.members.first().is_some_and(|m| m.worker != worker);
        (elsewhere && record.phase == Phase::Running).then_some(())
    })
    .await;
    cluster.wait_for_running("a", 1).await;
    history::check(&cluster, &[]);
}

/// Guards against final records that are kept for ever, or removed before their retention time.
#[ntex::test]
async fn final_records_are_removed_after_their_retention() {
    let mut cluster = Cluster::new(1, 0);
    let retention = Millis(2_500);
    cluster.add_scheduler(|cfg| cfg.jobs.keep_ms = retention);
    let client = cluster.configure().await;
    submit(&client, job("a", 1, 1)).await;
    submit(&client, job("b", 1, 1)).await;
    let cancelled = clock::now();
    client.call(&cancel("a")).await.unwrap();
    cluster.wait_for_phase("a", Phase::Cancelled).await;
    let reply = client.call(&cluster::status("a")).await;
    assert!(matches!(reply, Ok(Reply::Job { .. })), "{reply:?}");
    cluster::eventually("the row is removed", async || {
        cluster.record("a").is_none().then_some(())
    })
    .await;
    assert!(clock::now().since(cancelled) >= retention);
    // The leader forgets the job with the answer to the removal, which may still be on its way.
    cluster::eventually("the job is forgotten", async || {
        match client.call(&cluster::status("a")).await {
            Ok(Reply::Failed { code, .. }) if code == "unknown_job" => Some(()),
            Ok(Reply::Job { .. }) => None,
            reply => panic!("{reply:?}"),
        }
    })
    .await;
    assert_eq!(cluster.running("b"), 1);
    submit(&client, job("a", 1, 1)).await;
    cluster.wait_for_running("a", 1).await;
}

/// Guards against missing state in `/ready`, `/dump` and `/metrics`.
#[ntex::test]
async fn state_is_served_over_http() {
    let cluster = Cluster::new(1, 1);
    let client = cluster.configure().await;
    submit(&client, job("a", 1, 1)).await;
    cluster.wait_for_running("a", 1).await;
    let addr = cluster.schedulers[0].http_addr();
    assert_eq!(cluster::get(addr, "/ready").await, "ready");
    let dump = cluster::get(addr, "/dump").await;
    assert!(dump.contains("\"leading\":true"), "{dump}");
    let metrics = cluster::get(addr, "/metrics").await;
    assert!(
        metrics.contains("sched_jobs{phase=\"running\"} 1"),
        "{metrics}"
    );
}

/// Guards against an impossible job that waits for ever because the plan never learns that the
/// sizes of all workers are known.
#[ntex::test]
async fn a_job_larger_than_every_worker_is_refused() {
    let cluster = Cluster::new(2, 1);
    let client = cluster.configure().await;
    submit(&client, job("large", 1, 9)).await;
    cluster.wait_for_phase("large", Phase::Refused).await;
}
