//! Time from the submission of an urgent job to the start of its last member.

mod cluster;

use base::clock::{self, Millis};
use cluster::{Cluster, cancel, history, job, submit};
use schema::{job::Phase, shape::Adjacency};
use standin::worker::Worker;
use wire::client::Client;

/// Maximum time from the submission of an urgent job to the start of its last member, if its
/// capacity is free or is reclaimed from other work.
const MAX_START_DELAY: Millis = Millis(1_600);
const RUNS: usize = 100;
const WORKERS: usize = 50;

fn config_records() -> Vec<String> {
    vec![
        "{schema: 2, kind: 'organisation', spec: {name: 'org', guarantees: [{gangs: 2, \
         shape: {members: 4, accelerators: 8, cores: 4, memory_mb: 1024}}]}}"
            .into(),
        "{schema: 2, kind: 'organisation', spec: {name: 'other'}}".into(),
        "{schema: 2, kind: 'team', spec: {organisation: 'other', name: 'team', quota_accelerators: 9999}}"
            .into(),
    ]
}

/// Runs the test without the log output that `ntex::test` enables, because it takes time.
fn block_on(f: impl Future<Output = ()> + 'static) {
    ntex::rt::System::new("urgent", ntex::rt::DefaultRuntime).block_on(f);
}

async fn start_cluster() -> (Cluster, Client) {
    let cluster = Cluster::new(WORKERS, 1);
    let client = cluster.configure().await;
    let reply = client
        .call(&cluster::apply(2, None, &config_records()))
        .await;
    assert!(
        matches!(reply, Ok(wire::message::Reply::Applied { .. })),
        "{reply:?}"
    );
    (cluster, client)
}

/// Submits an urgent job with four members, each of which needs all accelerators of a worker, and
/// returns the time until its last member started.
async fn start_urgent(cluster: &Cluster, client: &Client, name: &str) -> Millis {
    let mut urgent = job(name, 4, 8);
    urgent.urgent = true;
    urgent.shape.adjacency = Adjacency::DataCentre;
    let submitted = clock::now();
    submit(client, urgent).await;
    cluster.wait_for_running(name, 4).await;
    let runs = cluster.workers.workers().iter().flat_map(Worker::history);
    let starts = runs.filter(|r| r.attempt.job.name.as_str() == name);
    let last = starts.map(|r| r.started_at).max().unwrap();
    last.since(submitted)
}

async fn cancel_urgent(cluster: &Cluster, client: &Client, name: &str) {
    client.call(&cancel(name)).await.unwrap();
    cluster.wait_for_phase(name, Phase::Cancelled).await;
}

fn check_times(what: &str, mut times: Vec<Millis>) {
    times.sort();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!(
        "urgent start, {what}: {} runs, p50 {}, p90 {}, p99 {}, max {}",
        times.len(),
        at(50),
        at(90),
        at(99),
        at(100)
    );
    assert!(at(100) < MAX_START_DELAY, "{what}: {times:?}");
}

#[test]
fn urgent_work_starts_in_time_on_free_capacity() {
    block_on(async {
        let (cluster, client) = start_cluster().await;
        let mut times = Vec::new();
        for i in 0..RUNS {
            let name = format!("urgent-{i}");
            times.push(start_urgent(&cluster, &client, &name).await);
            cancel_urgent(&cluster, &client, &name).await;
        }
        check_times("free capacity", times);
        history::check(&cluster, &[]);
    });
}

/// Guards against urgent work that waits until borrowed work on its guaranteed capacity ends,
/// instead of stopping it.
#[test]
fn urgent_work_starts_in_time_by_reclaiming_guaranteed_capacity() {
    block_on(async {
        let (cluster, client) = start_cluster().await;
        for i in 0..WORKERS {
            let mut filler = job(&format!("filler-{i}"), 1, 8);
            filler.organisation = cluster::name("other");
            submit(&client, filler).await;
        }
        let mut times = Vec::new();
        for i in 0..RUNS {
            cluster::eventually("all workers are in use", async || {
                let runs = cluster.workers.workers().iter().flat_map(Worker::history);
                (runs.filter(|r| r.ended_at.is_none()).count() == WORKERS).then_some(())
            })
            .await;
            let name = format!("urgent-{i}");
            times.push(start_urgent(&cluster, &client, &name).await);
            cancel_urgent(&cluster, &client, &name).await;
        }
        check_times("capacity used by work that is stopped first", times);
        history::check(&cluster, &[]);
    });
}
