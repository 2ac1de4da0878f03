//! Communication with one worker: reports, orders and liveness.

use base::clock::Millis;
use plan::{
    event::{Event, Report, WorkerInfo},
    order::{Action, Attempt, Order},
    plan_cfg::PlanCfg,
    record::{JobKey, Member},
    state::Plan,
};
use sched::{
    cfg::WorkersCfg,
    worker_link::{TaskReport, WorkerLink},
};
use schema::{
    job::{Job, StopMode},
    shape::{Adjacency, Shape},
};

const HOLD: Action = Action::Hold {
    cores: 1,
    memory_mb: 1,
};
const STOP: Action = Action::Stop { checkpoint: true };
const RUNNING: Report = Report::Running { memory_mb: 1 };

fn attempt(attempt: u32) -> Attempt {
    let job = JobKey {
        organisation: "org".parse().unwrap(),
        name: "job".parse().unwrap(),
    };
    Attempt { job, attempt }
}

fn order(accelerators: u32, action: Action) -> Order {
    Order {
        attempt: attempt(1),
        member: Member {
            worker: "w".parse().unwrap(),
            accelerators,
        },
        action,
    }
}

fn task(accelerators: u32, report: Report) -> TaskReport {
    TaskReport {
        attempt: attempt(1),
        accelerators,
        report,
    }
}

/// Returns the link to a worker that is up and has a member of attempt 1.
fn link() -> WorkerLink {
    let mut link = WorkerLink::new("w".parse().unwrap(), WorkersCfg::default(), Millis(0));
    let info = WorkerInfo {
        name: "w".parse().unwrap(),
        rack: "r".parse().unwrap(),
        data_centre: "d".parse().unwrap(),
        accelerators: 8,
        cores: 8,
        memory_mb: 8,
    };
    assert!(matches!(
        link.on_info(Millis(0), info),
        Some(Event::WorkerUp { .. })
    ));
    link.assign(&attempt(1), true);
    link
}

fn exchange(link: &mut WorkerLink, now: u64, tasks: &[TaskReport]) -> Vec<Report> {
    link.start_call(Millis(now), 1);
    let events = link.on_answer(Millis(now), tasks.to_vec());
    let report = |e: Event| match e {
        Event::Member { report, .. } => Some(report),
        Event::WorkerRestarted { .. } => None,
        other => panic!("{other:?}"),
    };
    events.into_iter().filter_map(report).collect()
}

/// Guards against a start that is sent, or sent again, after the stop of its attempt was queued.
#[test]
fn a_stop_replaces_a_start() {
    let mut link = link();
    link.push(order(1, Action::Go));
    link.push(order(1, STOP));
    assert_eq!(link.start_call(Millis(0), 1).orders, [order(1, STOP)]);
    let mut link = self::link();
    link.push(order(1, Action::Go));
    link.start_call(Millis(0), 1);
    link.push(order(1, STOP));
    assert!(link.may_start(&attempt(1).job));
    link.on_failure();
    assert!(!link.may_start(&attempt(1).job));
    assert_eq!(link.start_call(Millis(1), 1).orders, [order(1, STOP)]);
}

/// Guards against orders that are lost when a call fails.
#[test]
fn orders_of_a_failed_call_are_sent_again_first() {
    let mut link = link();
    link.push(order(1, HOLD));
    link.start_call(Millis(0), 1);
    link.push(order(1, Action::Go));
    link.on_failure();
    let orders = link.start_call(Millis(1), 1).orders;
    assert_eq!(orders, [order(1, HOLD), order(1, Action::Go)]);
}

/// Guards against accelerators that are freed while another member still runs on them.
#[test]
fn an_end_is_reported_when_all_members_on_the_worker_have_ended() {
    let mut link = link();
    let part = [task(1, Report::Failed), task(2, RUNNING)];
    assert_eq!(exchange(&mut link, 0, &part), []);
    assert_eq!(link.start_call(Millis(1), 1).orders, [order(2, STOP)]);
    let stopped = Report::Stopped { checkpoint: true };
    let whole = [task(1, Report::Failed), task(2, stopped)];
    assert_eq!(exchange(&mut link, 2, &whole), [Report::Failed]);
    let done = [task(1, Report::Done), task(2, RUNNING)];
    assert_eq!(exchange(&mut link, 3, &done), [RUNNING]);
}

/// Guards against a task that counts as running after its worker has lost it.
#[test]
fn a_task_that_is_missing_is_reported() {
    let mut link = link();
    assert_eq!(exchange(&mut link, 0, &[task(1, RUNNING)]), [RUNNING]);
    assert_eq!(exchange(&mut link, 1, &[task(1, RUNNING)]), []);
    assert_eq!(exchange(&mut link, 2, &[]), [Report::NotHeld]);
}

/// Guards against a member that is reported as missing before its order was sent.
#[test]
fn a_member_whose_order_is_queued_is_not_missing() {
    let mut link = link();
    link.start_call(Millis(0), 1);
    link.push(order(1, HOLD));
    assert_eq!(link.on_answer(Millis(0), Vec::new()), []);
    assert_eq!(
        exchange(&mut link, 1, &[task(1, Report::Held)]),
        [Report::Held]
    );
}

/// Guards against the reuse of a silent worker's accelerators before its task leases have lapsed.
#[test]
fn a_silent_worker_is_lost_only_after_the_last_lease() {
    let mut link = link();
    link.start_call(Millis(2_900), 1);
    link.on_failure();
    assert!(matches!(
        link.check_silence(Millis(3_000)),
        Some(Event::WorkerLeaving { .. })
    ));
    assert!(link.needs_info());
    assert_eq!(link.check_silence(Millis(2_900 + 30_000)), None);
    assert!(matches!(
        link.check_silence(Millis(2_900 + 32_000)),
        Some(Event::WorkerLost { .. })
    ));
}

/// Guards against slow starts: workers are polled often only while the result of an order is
/// awaited.
#[test]
fn results_of_orders_are_polled_for() {
    let mut link = link();
    exchange(&mut link, 5_000, &[task(1, RUNNING)]);
    assert_eq!(link.next_call_at(), Millis(6_000));
    link.push(order(1, STOP));
    assert_eq!(link.next_call_at(), Millis(0));
    exchange(&mut link, 5_100, &[task(1, RUNNING)]);
    assert!(link.next_call_at() <= Millis(5_150));
    exchange(
        &mut link,
        5_150,
        &[task(1, Report::Stopped { checkpoint: true })],
    );
    assert_eq!(link.next_call_at(), Millis(6_150));
}

/// Guards against urgent work that waits for a poll after the work before it has stopped.
#[test]
fn the_wait_for_a_poll_adds_at_most_a_quarter_to_a_stop() {
    for stop_ms in [5, 20, 21, 100, 400, 700, 1_280] {
        let mut link = link();
        exchange(&mut link, 5_000, &[task(1, RUNNING)]);
        link.push(order(1, STOP));
        exchange(&mut link, 5_100, &[task(1, RUNNING)]);
        let mut polls = 0;
        while link.next_call_at() < Millis(5_100 + stop_ms) {
            let poll = link.next_call_at().0;
            exchange(&mut link, poll, &[task(1, RUNNING)]);
            polls += 1;
        }
        let seen = link.next_call_at().since(Millis(5_100));
        let limit = Millis(stop_ms + stop_ms / 4 + 10);
        assert!(seen <= limit, "a stop of {stop_ms} ms is seen after {seen}");
        assert!(polls < 25, "{polls} polls in {stop_ms} ms");
    }
}

/// Guards against a crash of a worker that goes unnoticed because the worker answers again.
#[test]
fn a_worker_that_lost_its_tasks_has_restarted() {
    let mut link = link();
    exchange(&mut link, 5, &[task(1, RUNNING)]);
    link.start_call(Millis(2_000), 1);
    let events = link.on_answer(Millis(2_000), Vec::new());
    let restarted = Event::WorkerRestarted {
        worker: "w".parse().unwrap(),
        silent: Millis(1_995),
    };
    assert_eq!(events[0], restarted);
    assert!(matches!(
        events[1],
        Event::Member {
            report: Report::NotHeld,
            ..
        }
    ));
    // A task that ends is listed until its attempt is no longer renewed.
    let mut link = self::link();
    exchange(&mut link, 5, &[task(1, RUNNING)]);
    assert_eq!(
        exchange(&mut link, 9, &[task(1, Report::Done)]),
        [Report::Done]
    );
    assert_eq!(exchange(&mut link, 12, &[]), [Report::NotHeld]);
}

/// Guards against a long job that is blamed for a crash as if it had just started, because the time
/// since boot at which its worker was last alive is compared with the wall clock of the plan.
#[test]
fn a_crash_under_a_long_job_has_little_weight() {
    const WALL: Millis = Millis(1_700_000_000_000);
    const HOUR: u64 = 3_600_000;
    let mut link = link();
    let mut plan = Plan::new(PlanCfg::default());
    let worker = link.info().unwrap().clone();
    plan.handle(WALL, Event::WorkerUp { worker });
    plan.handle(WALL, Event::Submitted { job: job() });
    for (at, report) in [(5, Report::Held), (10, RUNNING), (HOUR, RUNNING)] {
        link.start_call(Millis(at), 1);
        for event in link.on_answer(Millis(at), vec![task(1, report)]) {
            plan.handle(WALL + Millis(at), event);
        }
    }
    let restarted = HOUR + 5_000;
    link.start_call(Millis(restarted), 1);
    let crash = link.on_answer(Millis(restarted), Vec::new()).remove(0);
    plan.handle(WALL + Millis(restarted), crash);
    let record = plan.job(&attempt(1).job).unwrap();
    assert_eq!((record.attempt, record.crash_weight), (1, 1));
}

fn job() -> Job {
    Job {
        organisation: "org".parse().unwrap(),
        team: "team".parse().unwrap(),
        name: "job".parse().unwrap(),
        kind: "test".parse().unwrap(),
        shape: Shape {
            members: 1,
            accelerators: 1,
            cores: 1,
            memory_mb: 1,
            adjacency: Adjacency::Worker,
        },
        run_time_ms: Millis(7_200_000),
        urgent: false,
        stop: StopMode::Checkpoint,
    }
}

/// Guards against a worker that counts as lost while a former leader may renew its task leases.
#[test]
fn a_silent_worker_is_not_lost_before_the_end_of_a_former_leader() {
    let mut link = link();
    link.set_former_end(Millis(50_000));
    assert!(link.check_silence(Millis(3_000)).is_some());
    assert_eq!(link.check_silence(Millis(81_999)), None);
    let lost = link.check_silence(Millis(82_000));
    assert!(matches!(lost, Some(Event::WorkerLost { .. })), "{lost:?}");
}

/// Guards against a wait for a former leader whose renewals the worker refuses.
#[test]
fn a_worker_that_answered_is_lost_after_its_own_leases() {
    let mut link = link();
    link.set_former_end(Millis(50_000));
    exchange(&mut link, 1_000, &[task(1, RUNNING)]);
    assert!(link.check_silence(Millis(4_000)).is_some());
    assert_eq!(link.check_silence(Millis(32_999)), None);
    assert!(link.check_silence(Millis(33_000)).is_some());
}
