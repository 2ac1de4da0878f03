//! Queue of one class: organisations take turns by deficit round robin.

use std::collections::VecDeque;

use base::{name::Name, sorted::SortedMap};

use crate::admit::Waiting;

/// Highest cost that counts, so that a wrong cost can't keep an organisation out for long.
pub(crate) const MAX_COST: u32 = 10_000;

/// Queue of one class.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    queues: SortedMap<Name, OrgQueue>,
    /// Organisations with waiting requests, in the order of their turns.
    turns: VecDeque<Name>,
    /// Number of waiting requests.
    pub(crate) len: usize,
}

#[derive(Debug, Default)]
struct OrgQueue {
    waiting: VecDeque<Waiting>,
    deficit: u32,
}

impl OrgQueue {
    /// Deficit that is missing for the first request; `None` if nothing waits.
    fn lacks(&self) -> Option<u32> {
        let first = self.waiting.front()?;
        Some(cost(first).saturating_sub(self.deficit))
    }
}

impl ClassQueue {
    pub(crate) fn push(&mut self, waiting: Waiting) {
        let queue = self.queues.get_or_default(waiting.organisation.clone());
        if queue.waiting.is_empty() {
            self.turns.push_back(waiting.organisation.clone());
        }
        queue.waiting.push_back(waiting);
        self.len += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        if self.next_ready().is_none() {
            self.grant();
        }
        let i = self.next_ready()?;
        let name = self.turns.remove(i)?;
        let queue = self.queues.get_mut(&name)?;
        let waiting = queue.waiting.pop_front()?;
        queue.deficit -= cost(&waiting);
        if queue.waiting.is_empty() {
            // An organisation that has nothing waiting saves no deficit for later.
            self.queues.remove(&name);
        } else {
            self.turns.push_back(name);
        }
        self.len -= 1;
        Some(waiting)
    }

    /// The next organisation whose deficit covers its first request.
    fn next_ready(&self) -> Option<usize> {
        let is_ready = |name: &Name| self.queues.get(name).is_some_and(|q| q.lacks() == Some(0));
        self.turns.iter().position(is_ready)
    }

    /// Gives every organisation the same deficit, the least that lets one of them dispatch.
    ///
    /// A fixed quantum would let an organisation with cheap requests dispatch a long burst.
    fn grant(&mut self) {
        let least = self.queues.values().filter_map(OrgQueue::lacks).min();
        for (_, queue) in self.queues.iter_mut() {
            queue.deficit += least.unwrap_or(0);
        }
    }

    /// Removes and returns the requests for which `matches` is true.
    pub(crate) fn take(&mut self, matches: &mut impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for (_, queue) in self.queues.iter_mut() {
            let (out, kept): (VecDeque<_>, _) = queue.waiting.drain(..).partition(&mut *matches);
            queue.waiting = kept;
            taken.extend(out);
        }
        self.len -= taken.len();
        self.queues.retain(|_, q| !q.waiting.is_empty());
        self.turns.retain(|name| self.queues.get(name).is_some());
        taken
    }

    pub(crate) fn len_of(&self, organisation: &Name) -> usize {
        self.queues.get(organisation).map_or(0, |q| q.waiting.len())
    }

    /// Requests that are served before a new one of `organisation`, when costs are equal.
    pub(crate) fn ahead_of(&self, organisation: &Name) -> usize {
        let own = self.len_of(organisation);
        let others = self.queues.iter().filter(|(name, _)| *name != organisation);
        let before = others.map(|(_, q)| q.waiting.len().min(own + 1));
        own + before.sum::<usize>()
    }
}

fn cost(waiting: &Waiting) -> u32 {
    waiting.cost.clamp(1, MAX_COST)
}
