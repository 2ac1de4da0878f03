//! Open connections of a listener, and how they are closed.

use std::{cell::Cell, rc::Rc};

use tokio::sync::watch;

/// Connections of one listener; clones share them.
///
/// ```
/// let connections = serve::Connections::default();
/// assert_eq!((connections.open(), connections.refused()), (0, 0));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Connections(Rc<State>);

#[derive(Debug, Default)]
struct State {
    open: watch::Sender<usize>,
    refused: Cell<u64>,
    closing: watch::Sender<bool>,
}

impl Connections {
    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        *self.0.open.borrow()
    }

    /// Returns how many connections were closed so far because too many were open.
    pub fn refused(&self) -> u64 {
        self.0.refused.get()
    }

    /// Closes the listener, then idle connections, and each other one after its answer.
    /// [`listen`](crate::listen) returns when all of them have ended.
    ///
    /// ```
    /// serve::Connections::default().close();
    /// ```
    pub fn close(&self) {
        self.0.closing.send_replace(true);
    }

    /// Returns once [`Self::close`] has been called.
    pub(crate) async fn closing(&self) {
        // The channel stays open while `self` exists.
        let _ = self.0.closing.subscribe().wait_for(|c| *c).await;
    }

    /// Returns once no connection is open.
    pub(crate) async fn ended(&self) {
        let _ = self.0.open.subscribe().wait_for(|n| *n == 0).await;
    }

    pub(crate) fn refuse(&self) {
        self.0.refused.set(self.refused() + 1);
    }

    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn guard(&self) -> Guard {
        self.0.open.send_modify(|n| *n += 1);
        Guard(self.clone())
    }
}

#[derive(Debug)]
pub(crate) struct Guard(Connections);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.open.send_modify(|n| *n -= 1);
    }
}
