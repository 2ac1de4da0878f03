//! The whole path from a request to the tasks on the workers.

mod site;

use base::clock::{self, Millis};
use schema::job::Phase;
use site::{Site, cancel, history, job, relay::Relay, submit};
use store::vm::VmState;
use wire::message::{Effect, Reply, Request};

/// Guards against a gang that starts in part, and against an end that is not noticed.
#[ntex::test]
async fn a_gang_starts_whole_and_is_cancelled_whole() {
    let site = Site::new(4, 1);
    let client = site.configure().await;
    let status = submit(&client, job("a", 4, 8)).await;
    assert!(!status.phase.is_final(), "{status:?}");
    site.wait_for_running("a", 4).await;
    let reply = client.call(&cancel("a")).await.unwrap();
    assert!(matches!(reply, Reply::Job { .. }), "{reply:?}");
    site.wait_for_phase("a", Phase::Cancelled).await;
    assert_eq!(site.running("a"), 0);
}

/// Guards against a repeated submission that makes a second job, or that hides a conflict.
#[ntex::test]
async fn submitting_again_is_safe() {
    let site = Site::new(1, 1);
    let client = site.configure().await;
    submit(&client, job("a", 1, 1)).await;
    submit(&client, job("a", 1, 1)).await;
    let request = Request::Submit {
        job: job("a", 1, 2),
    };
    let Ok(Reply::Failed { code, done, .. }) = client.call(&request).await else {
        panic!("a job with other content has the same name")
    };
    assert_eq!((code.as_str(), done), ("job_conflict", Effect::None));
    assert_eq!(site.platform.rows("job/").len(), 1);
}

/// Guards against an answer that tells of a job which the table does not have.
#[ntex::test]
async fn unknown_names_are_refused_without_effect() {
    let site = Site::new(1, 1);
    let client = site.configure().await;
    let mut unknown = job("a", 1, 1);
    unknown.team = site::name("nobody");
    let reply = client.call(&Request::Submit { job: unknown }).await;
    let Ok(Reply::Failed { code, .. }) = reply else {
        panic!("{reply:?}")
    };
    assert_eq!(code, "unknown_team");
    let reply = client.call(&cancel("missing")).await;
    assert!(matches!(reply, Ok(Reply::Failed { code, .. }) if code == "unknown_job"));
    assert!(site.platform.rows("job/").is_empty());
}

/// Guards against a job that starts after its cancellation was answered, and against accelerators
/// that are used twice when many gangs come and go.
#[ntex::test]
async fn a_burst_with_cancellations_keeps_its_promises() {
    let site = Site::new(8, 1);
    let client = site.configure().await;
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
        site.wait_for_phase(name, Phase::Cancelled).await;
    }
    site.wait_for_running("job-1", 2).await;
    history::check(&site, &cancelled);
}

/// Guards against a start that reaches a worker after the cancellation was answered.
#[ntex::test]
async fn a_start_under_way_delays_the_answer_to_a_cancellation() {
    let site = Site::new(1, 1);
    let relay = Relay::new(site.workers.addr());
    let mut vms = site.vms();
    vms[0].address = relay.addr;
    site.platform.set_vms(vms);
    let client = site.configure().await;
    relay.slow(300);
    submit(&client, job("a", 1, 1)).await;
    site.wait_for_phase("a", Phase::Running).await;
    assert_eq!(site.running("a"), 0);
    let reply = client.call(&cancel("a")).await;
    let answered = clock::now();
    assert!(matches!(reply, Ok(Reply::Job { .. })), "{reply:?}");
    site.wait_for_phase("a", Phase::Cancelled).await;
    history::check(&site, &[("a", answered)]);
}

/// Guards against work that is left on a worker which is about to go.
#[ntex::test]
async fn gangs_move_off_a_leaving_worker() {
    let site = Site::new(3, 1);
    let client = site.configure().await;
    submit(&client, job("a", 1, 8)).await;
    site.wait_for_running("a", 1).await;
    let worker = site.record("a").unwrap().members[0].worker.clone();
    let mut vms = site.vms();
    for vm in &mut vms {
        if vm.name == worker {
            vm.state = VmState::Leaving;
        }
    }
    site.platform.set_vms(vms);
    site::eventually("the job runs elsewhere", async || {
        let record = site.record("a").unwrap();
        let elsewhere = record.members.first().is_some_and(|m| m.worker != worker);
        (elsewhere && record.phase == Phase::Running).then_some(())
    })
    .await;
    site.wait_for_running("a", 1).await;
    history::check(&site, &[]);
}

/// Guards against final records that pile up, or that are removed while somebody may ask.
#[ntex::test]
async fn final_records_are_removed_after_their_retention() {
    let mut site = Site::new(1, 0);
    site.add_sched(|cfg| cfg.jobs.keep_ms = Millis(2_500));
    let client = site.configure().await;
    submit(&client, job("a", 1, 1)).await;
    submit(&client, job("b", 1, 1)).await;
    client.call(&cancel("a")).await.unwrap();
    site.wait_for_phase("a", Phase::Cancelled).await;
    let reply = client.call(&site::status("a")).await;
    assert!(matches!(reply, Ok(Reply::Job { .. })), "{reply:?}");
    site::eventually("the row is removed", async || {
        site.record("a").is_none().then_some(())
    })
    .await;
    let reply = client.call(&site::status("a")).await;
    assert!(matches!(reply, Ok(Reply::Failed { code, .. }) if code == "unknown_job"));
    assert_eq!(site.running("b"), 1);
    submit(&client, job("a", 1, 1)).await;
    site.wait_for_running("a", 1).await;
}

/// Guards against a process that does not tell its state.
#[ntex::test]
async fn state_is_served_over_http() {
    let site = Site::new(1, 1);
    let client = site.configure().await;
    submit(&client, job("a", 1, 1)).await;
    site.wait_for_running("a", 1).await;
    let addr = site.scheds[0].http_addr();
    assert_eq!(site::get(addr, "/ready").await, "ready");
    let dump = site::get(addr, "/dump").await;
    assert!(dump.contains("\"leading\":true"), "{dump}");
    let metrics = site::get(addr, "/metrics").await;
    assert!(
        metrics.contains("sched_jobs{phase=\"running\"} 1"),
        "{metrics}"
    );
}
