//! Callers' requests under way.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use base::clock::Millis;

/// Requests whose handlers run, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct Requests {
    /// Number and time of arrival of each request.
    open: RefCell<Vec<(u64, Millis)>>,
    arrived: Cell<u64>,
}

impl Requests {
    /// Adds a request that arrived at `now`, until the guard is dropped.
    pub(crate) fn begin(self: &Rc<Self>, now: Millis) -> Guard {
        let number = self.arrived.get();
        self.arrived.set(number + 1);
        self.open.borrow_mut().push((number, now));
        Guard {
            requests: self.clone(),
            number,
        }
    }

    /// Returns the number of requests under way.
    pub(crate) fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns the number of requests that have arrived so far.
    pub(crate) fn arrived(&self) -> u64 {
        self.arrived.get()
    }

    /// Returns the time of arrival of the oldest request under way.
    pub(crate) fn oldest(&self) -> Option<Millis> {
        self.open.borrow().first().map(|(_, at)| *at)
    }
}

/// A request under way.
#[derive(Debug)]
pub(crate) struct Guard {
    requests: Rc<Requests>,
    number: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut open = self.requests.open.borrow_mut();
        if let Ok(i) = open.binary_search_by_key(&self.number, |(number, _)| *number) {
            open.remove(i);
        }
    }
}
