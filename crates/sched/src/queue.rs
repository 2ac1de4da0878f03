//! Decisions that wait for their commit, and the batches in which they are committed.
//!
//! Decisions are committed in the order in which they were made. While one transaction is under
//! way, further decisions collect and are committed together.

use std::collections::VecDeque;

use plan::{
    event::Decision,
    order::{Action, Order},
    record::{JobKey, JobRecord},
};
use tokio::sync::oneshot;

/// What came of a decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settled {
    /// Its records are durable.
    Committed,
    /// It was dropped and certainly has no effect.
    Dropped,
    /// It was dropped while its commit was under way.
    Unknown,
}

/// A decision that waits for its commit, and whoever waits for it.
#[derive(Debug, Default)]
struct Item {
    decision: Decision,
    waiter: Option<oneshot::Sender<Settled>>,
}

/// Decisions that wait for their commit, in order.
///
/// ```
/// let mut queue = sched::queue::Queue::default();
/// assert!(queue.next_batch(10).is_none());
/// ```
#[derive(Debug, Default)]
pub struct Queue {
    items: VecDeque<Item>,
    records: usize,
}

/// Decisions that are committed together.
#[derive(Debug, Default)]
pub struct Batch {
    /// Records, each job once with its newest state.
    pub records: Vec<JobRecord>,
    /// Orders to send after the commit.
    pub orders: Vec<Order>,
    waiters: Vec<oneshot::Sender<Settled>>,
}

impl Queue {
    /// Adds a decision.
    ///
    /// ```
    /// let mut queue = sched::queue::Queue::default();
    /// queue.push(plan::event::Decision::default());
    /// assert!(queue.next_batch(10).is_some());
    /// ```
    pub fn push(&mut self, decision: Decision) {
        self.records += decision.records.len();
        self.items.push_back(Item {
            decision,
            waiter: None,
        });
    }

    /// Adds a decision and returns what will come of it.
    ///
    /// A decision without records is also settled only after all earlier ones, so an answer never
    /// tells about a state that may still be dropped.
    ///
    /// ```
    /// let mut queue = sched::queue::Queue::default();
    /// let mut settled = queue.push_and_wait(plan::event::Decision::default());
    /// assert!(settled.try_recv().is_err());
    /// ```
    pub fn push_and_wait(&mut self, decision: Decision) -> oneshot::Receiver<Settled> {
        let (tx, rx) = oneshot::channel();
        self.push(decision);
        if let Some(item) = self.items.back_mut() {
            item.waiter = Some(tx);
        }
        rx
    }

    /// Returns the number of records that wait.
    ///
    /// ```
    /// assert_eq!(sched::queue::Queue::default().records(), 0);
    /// ```
    pub fn records(&self) -> usize {
        self.records
    }

    /// Returns whether nothing waits.
    ///
    /// ```
    /// assert!(sched::queue::Queue::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Takes decisions with together at most `limit` records, but at least one decision.
    ///
    /// ```
    /// # use plan::event::Decision;
    /// let mut queue = sched::queue::Queue::default();
    /// queue.push(Decision::default());
    /// queue.push(Decision::default());
    /// assert!(queue.next_batch(1).is_some());
    /// assert!(queue.is_empty());
    /// ```
    pub fn next_batch(&mut self, limit: usize) -> Option<Batch> {
        let mut batch = Batch::default();
        let mut keys: Vec<JobKey> = Vec::new();
        let mut taken = 0;
        while let Some(item) = self.items.front() {
            let more = item.decision.records.len();
            if taken > 0 && keys.len() + more > limit {
                break;
            }
            taken += 1;
            let Some(item) = self.items.pop_front() else {
                break;
            };
            self.records -= more;
            batch.add(item, &mut keys);
        }
        (taken > 0).then_some(batch)
    }

    /// Takes the stop orders out of all waiting decisions.
    ///
    /// A task that stops before its record says so is treated by the next holder like one that
    /// stopped by itself, so stops may go ahead of their records while the table is down.
    ///
    /// ```
    /// assert!(sched::queue::Queue::default().take_stops().is_empty());
    /// ```
    pub fn take_stops(&mut self) -> Vec<Order> {
        let mut stops = Vec::new();
        for item in &mut self.items {
            stops.extend(split_stops(&mut item.decision.orders));
        }
        stops
    }

    /// Drops everything.
    ///
    /// ```
    /// let mut queue = sched::queue::Queue::default();
    /// queue.push(plan::event::Decision::default());
    /// queue.clear();
    /// assert!(queue.is_empty());
    /// ```
    pub fn clear(&mut self) {
        self.records = 0;
        for item in self.items.drain(..) {
            if let Some(waiter) = item.waiter {
                let _ = waiter.send(Settled::Dropped);
            }
        }
    }
}

impl Batch {
    fn add(&mut self, item: Item, keys: &mut Vec<JobKey>) {
        for record in item.decision.records {
            let key = record.key();
            if let Some(i) = keys.iter().position(|k| *k == key) {
                self.records[i] = record;
            } else {
                keys.push(key);
                self.records.push(record);
            }
        }
        self.orders.extend(item.decision.orders);
        self.waiters.extend(item.waiter);
    }

    /// Takes the stop orders, which may be sent before the commit.
    ///
    /// ```
    /// assert!(sched::queue::Batch::default().take_stops().is_empty());
    /// ```
    pub fn take_stops(&mut self) -> Vec<Order> {
        split_stops(&mut self.orders)
    }

    /// Tells all waiters what came of the batch and returns the orders.
    ///
    /// ```
    /// let orders = sched::queue::Batch::default().settle(sched::queue::Settled::Committed);
    /// assert!(orders.is_empty());
    /// ```
    pub fn settle(self, settled: Settled) -> Vec<Order> {
        for waiter in self.waiters {
            // A caller that has gone needs no answer.
            let _ = waiter.send(settled);
        }
        self.orders
    }
}

fn split_stops(orders: &mut Vec<Order>) -> Vec<Order> {
    let all = std::mem::take(orders);
    let (stops, rest) = all
        .into_iter()
        .partition(|o| matches!(o.action, Action::Stop { .. }));
    *orders = rest;
    stops
}
