//! Isolation of subtasks under which workers have crashed, so that the next crash shows its cause
//! and hits few others.

use base::clock::Millis;

use crate::{
    crash::MAX_SHARED_CRASHES,
    progress::{Run, Subtask},
    worker_end::PROVING_TIME,
};

/// Time for which a subtask waits for a worker where nothing else is in its way.
const MAX_WAIT: Millis = Millis(2_000);
/// The same for one that has to be alone, while a worker is kept free of new work for it.
const MAX_HOLD: Millis = Millis(15_000);

/// Time for which a run on a worker of its own keeps other work away. Work with room may have nothing
/// running for 3 s.
const ALONE_TIME: Millis = Millis(3_000);

/// How far a subtask has to be kept apart from other work.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Isolation {
    /// No worker has crashed under it.
    #[default]
    None,
    /// It starts where nothing else has just started, and nothing else starts there until it has
    /// lasted for a while.
    Start,
    /// It starts on a worker without any other work, and nothing else starts there until it has
    /// lasted for a longer while.
    Alone,
}

impl Isolation {
    /// Returns the isolation of a subtask under which `crashes` workers have crashed.
    pub(crate) const fn of(crashes: u32) -> Self {
        match crashes {
            0 => Self::None,
            1..MAX_SHARED_CRASHES => Self::Start,
            _ => Self::Alone,
        }
    }
}

/// Wait of a subtask that has room on workers, but is kept from them because of what else runs there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct IsolationWait {
    /// Beginning of the wait.
    since: Millis,
    /// Whether a worker is kept free of new work, so that the subtask can be alone there.
    is_held: bool,
}

/// Progress of such a wait.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum WaitState {
    #[default]
    None,
    Waiting,
    /// It has lasted for so long that the subtask starts beside others that have just started.
    Over,
}

impl Subtask {
    /// Returns the isolation of the subtask. One that has waited long enough for a worker of its own
    /// shares one, but still starts apart.
    pub(crate) fn isolation(&self, now: Millis) -> Isolation {
        let isolation = Isolation::of(self.crashes);
        let is_over = |wait: IsolationWait| {
            let max = if wait.is_held { MAX_HOLD } else { MAX_WAIT };
            now.since(wait.since) >= max
        };
        if isolation == Isolation::Alone && self.isolation_wait.is_some_and(is_over) {
            return Isolation::Start;
        }
        isolation
    }

    /// Returns whether the subtask waits because of what else runs on workers.
    pub(crate) fn isolation_wait(&self, now: Millis) -> WaitState {
        let Some(wait) = self.isolation_wait else {
            return WaitState::None;
        };
        let max = match Isolation::of(self.crashes) {
            Isolation::None | Isolation::Start => MAX_WAIT,
            Isolation::Alone if wait.is_held => MAX_HOLD + PROVING_TIME,
            Isolation::Alone => MAX_WAIT + PROVING_TIME,
        };
        if now.since(wait.since) >= max {
            WaitState::Over
        } else {
            WaitState::Waiting
        }
    }

    /// Records that only other work keeps the subtask from workers, and whether one is kept free of new
    /// work for it.
    pub(crate) fn wait_for_isolation(&mut self, is_held: bool, now: Millis) {
        let since = self.isolation_wait.map_or(now, |w| w.since);
        self.isolation_wait = Some(IsolationWait { since, is_held });
    }
}

impl Run {
    /// Returns the isolation with which the run of `task` was started. An earlier leader may have let it
    /// share a worker, which is not stored.
    pub(crate) fn isolation(&self, task: &Subtask) -> Isolation {
        let of_crashes = || Isolation::of(task.crashes);
        self.isolation.unwrap_or_else(of_crashes)
    }
}

/// Runs that have not yet lasted for a while on a worker.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
enum Starting {
    #[default]
    Nothing,
    /// Runs whose start is not isolated.
    Ordinary,
    /// Also a run whose start is isolated.
    Suspect,
}

/// What keeps further work away from a worker as a whole.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
enum Claim {
    #[default]
    None,
    /// It is held for a run that has to start where nothing else has just started.
    Quiet,
    /// It is held for a run that has to be alone there.
    Held,
    /// A run is still alone there.
    Taken,
}

/// What the runs on a worker mean for the isolation of further ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct IsolationState {
    starting: Starting,
    is_occupied: bool,
    /// Whether a run is endless, so that the worker never becomes idle.
    has_endless: bool,
    claim: Claim,
}

impl IsolationState {
    /// Adds a run that is known to have lasted for `age`.
    pub(crate) fn add_run(&mut self, isolation: Isolation, age: Millis, endless: bool) {
        let starting = match isolation {
            _ if age >= PROVING_TIME => Starting::Nothing,
            Isolation::None => Starting::Ordinary,
            Isolation::Start | Isolation::Alone => Starting::Suspect,
        };
        self.starting = self.starting.max(starting);
        self.is_occupied = true;
        self.has_endless |= endless;
        if isolation == Isolation::Alone && age < ALONE_TIME {
            self.claim = Claim::Taken;
        }
    }

    /// Holds the worker for a run that has to be alone there.
    pub(crate) fn hold(&mut self) {
        self.claim = self.claim.max(Claim::Held);
    }

    /// Holds the worker for a run that has to start where nothing else has just started.
    pub(crate) fn hold_quiet(&mut self) {
        self.claim = self.claim.max(Claim::Quiet);
    }

    /// Returns whether a run may start on the worker. Work that has precedence, or whose wait is over, is
    /// not kept from a worker that is held. Two suspects never start together, because their next crash
    /// would not tell which of them causes it.
    pub(crate) fn admits(
        self,
        isolation: Isolation,
        has_precedence: bool,
        wait: WaitState,
    ) -> bool {
        let is_over = wait == WaitState::Over;
        let is_apart = match isolation {
            Isolation::None => is_over || self.starting < Starting::Suspect,
            Isolation::Start if is_over => self.starting < Starting::Suspect,
            Isolation::Start => self.starting == Starting::Nothing,
            Isolation::Alone => !self.is_occupied,
        };
        let is_claimed = match self.claim {
            Claim::None => false,
            Claim::Quiet => isolation == Isolation::None && !has_precedence && !is_over,
            Claim::Held => !has_precedence && !is_over,
            Claim::Taken => true,
        };
        is_apart && !is_claimed
    }

    /// Returns whether ordinary work is kept from the worker.
    pub(crate) fn excludes_ordinary(self) -> bool {
        !self.admits(Isolation::None, false, WaitState::None)
    }

    /// Returns whether the worker becomes idle without new work and is not held yet.
    pub(crate) fn can_be_emptied(self) -> bool {
        !self.has_endless && self.claim < Claim::Held
    }
}
