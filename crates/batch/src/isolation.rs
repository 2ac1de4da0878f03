//! Isolation of subtasks under which workers have crashed, so that the next crash shows its cause
//! and hits few others.

use base::clock::Millis;

use crate::{crash::MAX_SHARED_CRASHES, progress::Subtask};

/// Time for which a subtask waits for a worker of its own while none will become idle.
const MAX_WAIT: Millis = Millis(2_000);
/// The same while a worker is kept free of new work for it.
const MAX_HOLD: Millis = Millis(15_000);

/// How far a subtask has to be kept apart from other work.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Isolation {
    /// No worker has crashed under it.
    #[default]
    None,
    /// It starts where nothing else has just started, and nothing else starts there until it has
    /// lasted for a while.
    Start,
    /// It runs on a worker without any other work.
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

/// Wait of a subtask for a worker of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct AloneWait {
    /// Beginning of the wait.
    since: Millis,
    /// Whether a worker is kept free of new work for it.
    is_held: bool,
}

impl Subtask {
    /// Returns the isolation of the subtask. One that has waited long enough for a worker of its own
    /// shares one, but still starts apart.
    pub(crate) fn isolation(&self, now: Millis) -> Isolation {
        let isolation = Isolation::of(self.crashes);
        let is_over = |wait: AloneWait| {
            let max = if wait.is_held { MAX_HOLD } else { MAX_WAIT };
            now.since(wait.since) >= max
        };
        if isolation == Isolation::Alone && self.alone_wait.is_some_and(is_over) {
            return Isolation::Start;
        }
        isolation
    }

    /// Records that there is no worker for the subtask alone, and whether one is kept free for it.
    pub(crate) fn wait_alone(&mut self, is_held: bool, now: Millis) {
        let since = self.alone_wait.map_or(now, |w| w.since);
        self.alone_wait = Some(AloneWait { since, is_held });
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

/// What the runs on a worker mean for the isolation of further ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct IsolationState {
    starting: Starting,
    is_occupied: bool,
    /// Whether a run is endless, so that the worker never becomes idle.
    has_endless: bool,
    /// Whether a run is alone on the worker, or the worker is held for one.
    is_taken: bool,
}

impl IsolationState {
    /// Adds a run; `proven` says whether it has lasted for a while.
    pub(crate) fn add_run(&mut self, isolation: Isolation, proven: bool, endless: bool) {
        let starting = match isolation {
            _ if proven => Starting::Nothing,
            Isolation::None => Starting::Ordinary,
            Isolation::Start | Isolation::Alone => Starting::Suspect,
        };
        self.starting = self.starting.max(starting);
        self.is_occupied = true;
        self.has_endless |= endless;
        self.is_taken |= isolation == Isolation::Alone;
    }

    /// Holds the worker for a run that has to be alone there.
    pub(crate) const fn hold(&mut self) {
        self.is_taken = true;
    }

    /// Returns whether a run may start on the worker.
    pub(crate) fn admits(self, isolation: Isolation) -> bool {
        let is_apart = match isolation {
            Isolation::None => self.starting < Starting::Suspect,
            Isolation::Start => self.starting == Starting::Nothing,
            Isolation::Alone => !self.is_occupied,
        };
        is_apart && !self.is_taken
    }

    /// Returns whether the worker becomes idle without new work and is not held yet.
    pub(crate) const fn can_be_emptied(self) -> bool {
        !self.has_endless && !self.is_taken
    }
}
