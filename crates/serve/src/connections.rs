//! Account of the open connections of a listener.

use std::{cell::Cell, rc::Rc};

/// Connections of one listener; clones share the account.
///
/// ```
/// let connections = serve::Connections::default();
/// assert_eq!((connections.open(), connections.refused()), (0, 0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Connections(Rc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    open: Cell<usize>,
    refused: Cell<u64>,
}

impl Connections {
    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.0.open.get()
    }

    /// Returns how many connections were closed so far because too many were open.
    pub fn refused(&self) -> u64 {
        self.0.refused.get()
    }

    pub(crate) fn refuse(&self) {
        self.0.refused.set(self.refused() + 1);
    }

    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn guard(&self) -> Guard {
        self.0.open.set(self.open() + 1);
        Guard(self.clone())
    }
}

#[derive(Debug)]
pub(crate) struct Guard(Connections);

impl Drop for Guard {
    fn drop(&mut self) {
        let counts = &self.0.0;
        counts.open.set(counts.open.get() - 1);
    }
}
