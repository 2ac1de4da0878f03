//! Isolation of subtasks under which workers have crashed, so that the next crash shows its cause
//! and hits few others.

use crate::crash::MAX_SHARED_CRASHES;

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
