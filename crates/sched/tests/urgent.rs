//! Time from the submission of an urgent job to the start of its last member.

mod cluster;

use base::clock::{self, Millis};
use cluster::{Cluster, cancel, history, job, submit};
use schema::{job::Phase, shape::Adjacency};
use standin::worker::Worker;
use wire::client::Client;

/// Maximum start time of urgent work whose capacity is free or is used by work that stops on
/// request.
const BOUND: Millis = Millis(1_600);
const RUNS: usize = 100;
const WORKERS: usize = 50;

fn records() -> Vec<String> {
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

async fn cluster() -> (Cluster, Client) {
    let cluster = Cluster::new(WORKERS, 1);
    let client = cluster.configure().await;
    let reply = client.call(&cluster::apply(2, None, &records())).await;
    assert!(
        matches!(reply, Ok(wire::message::Reply::Applied { .. })),
        "{reply:?}"
    );
    (cluster, client)
}

/// Submits an urgent gang of four whole workers and returns the time until its last member started.
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

async fn end_urgent(cluster: &Cluster, client: &Client, name: &str) {
    client.call(&cancel(name)).await.unwrap();
    cluster.wait_for_phase(name, Phase::Cancelled).await;
}

fn check_times(what: &str, mut times: Vec<Millis>) {
    times.sort();
    let at = |share: usize| times[(times.len() - 1) * share / 100];
    println!(
        "urgent start, {what}: {} runs, p50 {}, p90 {}, p99 {}, max {}",
        times.len(),
        at(50),
        at(90),
        at(99),
        at(100)
    );
    assert!(at(100) < BOUND, "{what}: {times:?}");
}

/// Guards against urgent work that starts too late on free capacity.
#[test]
fn urgent_work_starts_in_time_on_free_capacity() {
    block_on(async {
        let (cluster, client) = cluster().await;
        let mut times = Vec::new();
        for i in 0..RUNS {
            let name = format!("urgent-{i}");
            times.push(start_urgent(&cluster, &client, &name).await);
            end_urgent(&cluster, &client, &name).await;
        }
        check_times("free capacity", times);
        history::check(&cluster, &[]);
    });
}

/// Guards against urgent work that waits until other work ends instead of stopping it.
#[test]
fn urgent_work_starts_in_time_on_capacity_to_reclaim() {
    block_on(async {
        let (cluster, client) = cluster().await;
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
            end_urgent(&cluster, &client, &name).await;
        }
        check_times("capacity used by work that is stopped first", times);
        history::check(&cluster, &[]);
    });
}
