//! A leadership: the time from the takeover of the lease to its loss.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use base::clock::Millis;
use lease::machine::Held;
use ntex::rt;
use plan::event::Event;
use tokio::sync::{Notify, oneshot};

use crate::{
    config::ConfigState,
    ctx::{self, Cx},
    executor, members,
    queue::CommitOutcome,
    restore, retention,
    state::State,
    voters::Voters,
    voting, workers,
};

/// Interval of [`Event::Tick`].
const TICK: Millis = Millis(500);
/// Pause before a failed restore is retried.
const RESTORE_RETRY: Millis = Millis(200);

/// A leadership and its state.
pub(crate) struct Leader {
    pub(crate) held: Held,
    alive: Cell<bool>,
    ready: Cell<bool>,
    /// State; `None` before it is rebuilt.
    pub(crate) state: RefCell<Option<State>>,
    pub(crate) config: ConfigState,
    /// Voters that confirm this leadership while the table does not answer.
    pub(crate) voters: RefCell<Voters>,
    /// Notified when decisions are queued.
    pub(crate) wake_executor: Notify,
    /// Notified at the end of the leadership.
    ended: Notify,
}

impl Leader {
    pub(crate) fn new(held: Held) -> Self {
        Self {
            held,
            alive: Cell::new(true),
            ready: Cell::new(false),
            state: RefCell::new(None),
            config: ConfigState::default(),
            voters: RefCell::default(),
            wake_executor: Notify::new(),
            ended: Notify::new(),
        }
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.alive.get()
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Rebuilds the state and starts all controllers.
    pub(crate) fn start(self: &Rc<Self>, cx: &Cx) {
        let (leader, cx) = (self.clone(), cx.clone());
        rt::spawn(async move {
            let ended = leader.ended.notified();
            tokio::select! {
                () = run(cx, leader.clone()) => {}
                () = ended => {}
            }
        })
        .detach();
    }

    /// Ends the leadership and drops all uncommitted decisions.
    pub(crate) fn end(&self) {
        self.alive.set(false);
        self.ready.set(false);
        if let Ok(mut state) = self.state.try_borrow_mut()
            && let Some(state) = state.as_mut()
        {
            state.queue.clear();
        }
        self.ended.notify_waiters();
        self.wake_executor.notify_waiters();
    }

    /// Runs `f` on the state; returns `None` before the state is rebuilt.
    pub(crate) fn with_state<R>(&self, f: impl FnOnce(&mut State) -> R) -> Option<R> {
        self.state.borrow_mut().as_mut().map(f)
    }

    /// Passes an event to the plan and queues the decision for its commit.
    pub(crate) fn handle_event(&self, cx: &Cx, event: Event) {
        if !self.is_alive() {
            return;
        }
        self.with_state(|state| {
            let decision = state.decide(cx.plan_now(), event);
            state.queue.push(decision);
        });
        self.wake_executor.notify_one();
    }

    /// Passes an event to the plan, queues the decision for its commit and returns a receiver of
    /// the outcome.
    pub(crate) fn handle_event_with_outcome(
        &self,
        cx: &Cx,
        event: Event,
    ) -> Option<oneshot::Receiver<CommitOutcome>> {
        let outcome = self.with_state(|state| {
            let decision = state.decide(cx.plan_now(), event);
            state.queue.push_with_outcome(decision)
        });
        self.wake_executor.notify_one();
        outcome
    }
}

async fn run(cx: Cx, leader: Rc<Leader>) {
    while let Err(reason) = restore::run(&cx, &leader).await {
        log::warn!("sched: failed to rebuild the state: {reason}");
        ctx::sleep(RESTORE_RETRY).await;
    }
    leader.ready.set(true);
    log::info!("sched: leading");
    tokio::join!(
        executor::run(&cx, &leader),
        workers::run(&cx, &leader),
        members::run_leader(&cx, &leader),
        voting::run_store(&cx, &leader),
        voting::run_confirm(&cx, &leader),
        retention::run(&cx, &leader),
        retention::run_claims(&cx, &leader),
        retention::run_ages(&cx, &leader),
        tick(&cx, &leader),
    );
}

async fn tick(cx: &Cx, leader: &Rc<Leader>) {
    while leader.is_alive() {
        ctx::sleep(TICK).await;
        let stuck = leader.with_state(|s| s.stuck).unwrap_or(true);
        // While the table is down, expired time limits in the plan would only add decisions that
        // can't be committed.
        if !stuck && cx.is_acting(leader) {
            leader.handle_event(cx, Event::Tick);
        }
    }
}
