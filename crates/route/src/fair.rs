//! Queue of one class: organisations take turns by deficit round robin.

use std::collections::VecDeque;

use base::{name::Name, sorted::SortedMap};

use crate::admit::Waiting;

/// Cost that an organisation may dispatch in each turn.
pub(crate) const QUANTUM: u32 = 100;
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
    in_turn: bool,
}

impl ClassQueue {
    pub(crate) fn push(&mut self, waiting: Waiting) {
        let queue = self.queues.entry(waiting.organisation.clone());
        if queue.waiting.is_empty() {
            self.turns.push_back(waiting.organisation.clone());
        }
        queue.waiting.push_back(waiting);
        self.len += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        loop {
            let name = self.turns.front()?.clone();
            let queue = self.queues.entry(name.clone());
            let Some(cost) = queue.waiting.front().map(cost) else {
                self.turns.pop_front();
                self.queues.remove(&name);
                continue;
            };
            if !queue.in_turn {
                queue.in_turn = true;
                queue.deficit += QUANTUM;
            }
            if queue.deficit < cost {
                queue.in_turn = false;
                self.turns.rotate_left(1);
                continue;
            }
            queue.deficit -= cost;
            let waiting = queue.waiting.pop_front();
            if queue.waiting.is_empty() {
                // An organisation that has nothing waiting saves no deficit for later.
                self.turns.pop_front();
                self.queues.remove(&name);
            }
            self.len -= 1;
            return waiting;
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
