//! The whole path from a request to the tasks on the workers.

mod site;

use schema::job::Phase;
use site::{Site, cancel, job, submit};
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
