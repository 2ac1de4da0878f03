//! One leadership, from the takeover of the lease to its loss.

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
    queue::Settled,
    restore, retention,
    state::State,
    workers,
};

/// Time between two ticks of the plan.
const TICK: Millis = Millis(500);
/// Pause before a failed restore is tried again.
const RESTORE_RETRY: Millis = Millis(200);

/// One leadership.
pub(crate) struct Leader {
    pub(crate) held: Held,
    alive: Cell<bool>,
    ready: Cell<bool>,
    pub(crate) state: RefCell<Option<State>>,
    pub(crate) config: ConfigState,
    /// Wakes the executor.
    pub(crate) work: Notify,
    /// Wakes whoever waits for the end of the leadership.
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
            work: Notify::new(),
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

    /// Ends the leadership and drops everything that is not done.
    pub(crate) fn end(&self) {
        self.alive.set(false);
        self.ready.set(false);
        if let Ok(mut state) = self.state.try_borrow_mut()
            && let Some(state) = state.as_mut()
        {
            state.queue.clear();
        }
        self.ended.notify_waiters();
        self.work.notify_waiters();
    }

    /// Runs `f` on the state; the leadership must be ready.
    pub(crate) fn with<R>(&self, f: impl FnOnce(&mut State) -> R) -> Option<R> {
        self.state.borrow_mut().as_mut().map(f)
    }

    /// Lets the plan decide about an event; the decision is committed later.
    pub(crate) fn event(&self, cx: &Cx, event: Event) {
        if !self.is_alive() {
            return;
        }
        self.with(|state| {
            let decision = state.decide(cx.plan_now(), event);
            state.queue.push(decision);
        });
        self.work.notify_one();
    }

    /// Lets the plan decide about an event and tells when the decision is settled.
    pub(crate) fn event_and_wait(
        &self,
        cx: &Cx,
        event: Event,
    ) -> Option<oneshot::Receiver<Settled>> {
        let settled = self.with(|state| {
            let decision = state.decide(cx.plan_now(), event);
            state.queue.push_and_wait(decision)
        });
        self.work.notify_one();
        settled
    }
}

async fn run(cx: Cx, leader: Rc<Leader>) {
    while let Err(reason) = restore::run(&cx, &leader).await {
        log::warn!("sched: the state is not rebuilt: {reason}");
        ctx::sleep(RESTORE_RETRY).await;
    }
    leader.ready.set(true);
    log::info!("sched: leading");
    tokio::join!(
        executor::run(&cx, &leader),
        workers::run(&cx, &leader),
        members::run_leader(&cx, &leader),
        retention::run(&cx, &leader),
        retention::run_claims(&cx, &leader),
        tick(&cx, &leader),
    );
}

async fn tick(cx: &Cx, leader: &Rc<Leader>) {
    while leader.is_alive() {
        ctx::sleep(TICK).await;
        let stuck = leader.with(|s| s.stuck).unwrap_or(true);
        // While the table is down, time limits of the plan would only pile up decisions.
        if !stuck && cx.is_acting(leader) {
            leader.event(cx, Event::Tick);
        }
    }
}
