//! Takeovers with several schedulers over the table: killed, frozen, cut off, stopped.

mod site;

use std::{thread, time::Duration};

use base::clock;
use schema::job::Phase;
use site::{Site, fast_lease, history, job, relay::Relay, submit};
use standin::faults::Faults;
use wire::{
    client::Client,
    message::{Reply, Request},
};

async fn site(workers: usize, scheds: usize) -> (Site, Client) {
    let mut site = Site::new(workers, 0);
    for _ in 0..scheds {
        site.add_sched(fast_lease);
    }
    let client = site.configure().await;
    (site, client)
}

fn fence(site: &Site) -> u64 {
    let row = site.platform.row("lease/main").unwrap();
    let row: lease::table::LeaseRow = serde_json::from_str(&row.value).unwrap();
    row.fence
}

/// Guards against a takeover that restarts gangs, or after which nothing can be placed.
#[ntex::test]
async fn gangs_outlive_a_killed_scheduler() {
    let (mut site, client) = site(4, 3).await;
    submit(&client, job("a", 2, 8)).await;
    site.wait_for_running("a", 2).await;
    let leader = site.leader().await;
    site.scheds[leader].kill();
    let client = site.client().await;
    submit(&client, job("b", 2, 8)).await;
    site.wait_for_running("b", 2).await;
    // A stop of the other gang would reach the workers within two renewals.
    site::pause(2_000).await;
    assert_eq!(
        (site.running("a"), site.record("a").unwrap().attempt),
        (2, 1)
    );
    assert_eq!(fence(&site), 2);
    history::check(&site, &[]);
}

/// Guards against a new holder that starts from stale rows and so forgets accepted jobs.
#[ntex::test]
async fn stale_reads_do_not_hide_jobs() {
    let (mut site, client) = site(2, 2).await;
    site.platform.set_faults(Faults {
        read_lag_ms: clock::Millis(3_000),
        ..Faults::default()
    });
    let leader = site.leader().await;
    submit(&client, job("a", 2, 8)).await;
    site.scheds[leader].kill();
    let client = site.client().await;
    let reply = client.call(&site::status("a")).await;
    assert!(matches!(reply, Ok(Reply::Job { .. })), "{reply:?}");
    site.wait_for_running("a", 2).await;
    history::check(&site, &[]);
}

/// Guards against a takeover that takes longer than the silence of six seconds needs.
#[ntex::test]
async fn a_takeover_with_the_default_settings_takes_seven_seconds() {
    let mut site = Site::new(1, 2);
    let leader = site.leader().await;
    let start = clock::now();
    site.scheds[leader].kill();
    site.leader().await;
    let took = clock::now().since(start);
    println!("takeover after a kill: {took}");
    assert!(
        took > clock::Millis(4_000) && took < clock::Millis(8_000),
        "{took}"
    );
}

/// Guards against a gang that stays in part when its scheduler dies between hold and go.
#[ntex::test]
async fn gangs_start_whole_when_the_scheduler_dies_on_the_way() {
    let (mut site, _) = site(2, 1).await;
    site.platform.set_faults(Faults {
        slow_ms: clock::Millis(20),
        ..Faults::default()
    });
    for round in 0..6_u64 {
        let name = format!("job-{round}");
        let client = site.client().await;
        let request = Request::Submit {
            job: job(&name, 2, 1),
        };
        // The decisions and orders of a start follow one another within about 100 ms.
        let kill_after = site::pause(10 + 18 * round);
        let _ = tokio::join!(client.call(&request), async {
            kill_after.await;
            site.scheds.last_mut().unwrap().kill();
        });
        site.add_sched(fast_lease);
        let client = site.client().await;
        submit(&client, job(&name, 2, 1)).await;
        site.wait_for_running(&name, 2).await;
    }
    history::check(&site, &[]);
}

/// Guards against a scheduler that acts after a freeze during which another took over.
#[ntex::test]
async fn a_thawed_scheduler_does_not_act() {
    let (site, client) = site(2, 2).await;
    let old = site.leader().await;
    submit(&client, job("a", 1, 8)).await;
    site.wait_for_running("a", 1).await;
    site.scheds[old].exec(|| thread::sleep(Duration::from_millis(3_500)));
    let request = Request::Submit {
        job: job("late", 1, 8),
    };
    let frozen = client.call(&request);
    let other = Client::new(site.scheds[1 - old].addr());
    let takeover = site::eventually("the other leads", async || {
        let list = Request::Jobs {
            organisation: None,
            limit: 1,
        };
        matches!(other.call(&list).await, Ok(Reply::Jobs { .. })).then_some(())
    });
    let (answer, ()) = tokio::join!(frozen, takeover);
    assert!(!matches!(answer, Ok(Reply::Job { .. })), "{answer:?}");
    submit(&other, job("b", 1, 8)).await;
    site.wait_for_running("b", 1).await;
    assert!(site.record("late").is_none());
    assert_eq!(site.leader().await, 1 - old);
    history::check(&site, &[]);
}

/// Guards against a holder without the table that acts on, and against gangs that end with it.
#[ntex::test]
async fn a_scheduler_cut_off_from_the_table_stops_acting() {
    let mut site = Site::new(2, 0);
    let relay = Relay::new(site.platform.addr());
    let addr = relay.addr;
    site.add_sched(|cfg| {
        fast_lease(cfg);
        cfg.platform = addr;
    });
    let client = site.configure().await;
    submit(&client, job("a", 2, 8)).await;
    site.wait_for_running("a", 2).await;
    site.add_sched(fast_lease);
    relay.cut();
    site::eventually("the other leads", async || {
        (site.leader().await == 1).then_some(())
    })
    .await;
    let request = Request::Submit {
        job: job("late", 1, 1),
    };
    let answer = client.call(&request).await.unwrap();
    assert!(!matches!(answer, Reply::Job { .. }), "{answer:?}");
    relay.pass();
    let client = site.client().await;
    submit(&client, job("b", 1, 1)).await;
    assert_eq!(
        (site.running("a"), site.record("a").unwrap().attempt),
        (2, 1)
    );
    assert!(site.record("late").is_none());
    history::check(&site, &[]);
}

/// Guards against a holder that counts renewals whose answers are lost, or that forgets a
/// decision which the table has.
#[ntex::test]
async fn lost_answers_are_settled() {
    let (site, _) = site(4, 3).await;
    site.platform.set_faults(Faults {
        lost_answers: 0.3,
        lost_requests: 0.2,
        ..Faults::default()
    });
    for i in 0..20 {
        let request = Request::Submit {
            job: job(&format!("job-{i}"), 1, 1),
        };
        site::eventually("the job is accepted", async || {
            let client = site.client().await;
            matches!(client.call(&request).await, Ok(Reply::Job { .. })).then_some(())
        })
        .await;
    }
    site.platform.set_faults(Faults::default());
    for i in 0..20 {
        site.wait_for_phase(&format!("job-{i}"), Phase::Running)
            .await;
        site.wait_for_running(&format!("job-{i}"), 1).await;
    }
    history::check(&site, &[]);
}

/// Guards against a copy of a transaction that reaches the table after a later one and undoes it.
#[ntex::test]
async fn a_late_copy_does_not_undo_a_later_decision() {
    let mut site = Site::new(1, 0);
    let relay = Relay::new(site.platform.addr());
    let addr = relay.addr;
    site.add_sched(|cfg| cfg.platform = addr);
    let client = site.configure().await;
    // The first configuration may have met a conflict with the row of a member.
    let conflicts = site.platform.stats().conflicts;
    // Longer than the wait of the table's client, which then sends the transaction again.
    relay.slow(3_200);
    let request = Request::Submit {
        job: job("a", 1, 1),
    };
    let (answer, ()) = tokio::join!(client.call(&request), async {
        site::pause(100).await;
        relay.pass();
    });
    assert!(matches!(answer, Ok(Reply::Job { .. })), "{answer:?}");
    client.call(&site::cancel("a")).await.unwrap();
    site.wait_for_phase("a", Phase::Cancelled).await;
    let before = site.platform.stats().commits;
    assert_eq!(
        site.platform.stats().conflicts,
        conflicts,
        "the copy came too early"
    );
    site::eventually("the late copy arrives", async || {
        let stats = site.platform.stats();
        (stats.conflicts > conflicts || stats.commits > before + 4).then_some(())
    })
    .await;
    assert_eq!(site.record("a").unwrap().phase, Phase::Cancelled);
}

/// Guards against a planned stop that cuts off requests or leaves the lease to lapse.
#[ntex::test]
async fn a_planned_stop_hands_over_at_once() {
    let mut site = Site::new(2, 2);
    let client = site.configure().await;
    let leader = site.leader().await;
    let mut stopping = std::mem::take(&mut site.scheds);
    let mut old = stopping.remove(leader);
    site.scheds = stopping;
    let start = clock::now();
    let stop = thread::spawn(move || old.stop());
    let answer = client
        .call(&Request::Submit {
            job: job("a", 1, 1),
        })
        .await;
    site.leader().await;
    let took = clock::now().since(start);
    stop.join().unwrap();
    // The lease lapses after six seconds.
    assert!(took < clock::Millis(4_000), "the hand-over took {took}");
    if matches!(answer, Ok(Reply::Job { .. })) {
        site.wait_for_running("a", 1).await;
    }
    assert!(site.platform.rows("member/").len() == 1);
}
