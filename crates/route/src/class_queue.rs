//! Queue of one class, which serves organisations by deficit round robin.

use std::collections::VecDeque;

use base::{name::Name, sorted::SortedMap};

use crate::admission::QueuedRequest;

/// Upper limit of the cost of a request, so that a wrong cost can't block an organisation for long.
pub(crate) const MAX_COST: u32 = 10_000;

/// Queue of one class.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    queues: SortedMap<Name, OrgQueue>,
    /// Organisations with waiting requests, in round-robin order.
    order: VecDeque<Name>,
    /// Number of waiting requests.
    pub(crate) len: usize,
}

/// Waiting requests and deficit of one organisation.
#[derive(Debug, Default)]
struct OrgQueue {
    requests: VecDeque<QueuedRequest>,
    /// Cost that the organisation may still dispatch.
    deficit: u32,
}

impl OrgQueue {
    /// Deficit that the first request still needs; `None` if the queue is empty.
    fn missing_deficit(&self) -> Option<u32> {
        let first = self.requests.front()?;
        Some(cost(first).saturating_sub(self.deficit))
    }
}

impl ClassQueue {
    pub(crate) fn push(&mut self, request: QueuedRequest) {
        let queue = self.queues.get_or_default(request.organisation.clone());
        if queue.requests.is_empty() {
            self.order.push_back(request.organisation.clone());
        }
        queue.requests.push_back(request);
        self.len += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        if self.next_ready().is_none() {
            self.grant_deficit();
        }
        let i = self.next_ready()?;
        let name = self.order.remove(i)?;
        let queue = self.queues.get_mut(&name)?;
        let request = queue.requests.pop_front()?;
        queue.deficit -= cost(&request);
        if queue.requests.is_empty() {
            // An organisation without waiting requests loses its remaining deficit.
            self.queues.remove(&name);
        } else {
            self.order.push_back(name);
        }
        self.len -= 1;
        Some(request)
    }

    /// Position in the order of the next organisation whose deficit covers its first request.
    fn next_ready(&self) -> Option<usize> {
        let is_ready = |name: &Name| {
            self.queues
                .get(name)
                .is_some_and(|q| q.missing_deficit() == Some(0))
        };
        self.order.iter().position(is_ready)
    }

    /// Adds the same deficit to every organisation: the least that lets one of them dispatch.
    ///
    /// A fixed quantum would let an organisation with cheap requests dispatch a long burst.
    fn grant_deficit(&mut self) {
        let least = self
            .queues
            .values()
            .filter_map(OrgQueue::missing_deficit)
            .min();
        for (_, queue) in self.queues.iter_mut() {
            queue.deficit += least.unwrap_or(0);
        }
    }

    /// Removes and returns the requests for which `matches` is true.
    pub(crate) fn take(
        &mut self,
        matches: &mut impl FnMut(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut taken = Vec::new();
        for (_, queue) in self.queues.iter_mut() {
            let (removed, kept): (VecDeque<_>, _) =
                queue.requests.drain(..).partition(&mut *matches);
            queue.requests = kept;
            taken.extend(removed);
        }
        self.len -= taken.len();
        self.queues.retain(|_, q| !q.requests.is_empty());
        self.order.retain(|name| self.queues.get(name).is_some());
        taken
    }

    pub(crate) fn len_of(&self, organisation: &Name) -> usize {
        self.queues
            .get(organisation)
            .map_or(0, |q| q.requests.len())
    }

    /// Number of requests that are served before a new one of `organisation` if costs are equal.
    pub(crate) fn ahead_of(&self, organisation: &Name) -> usize {
        let own = self.len_of(organisation);
        let others = self.queues.iter().filter(|(name, _)| *name != organisation);
        let before = others.map(|(_, q)| q.requests.len().min(own + 1));
        own + before.sum::<usize>()
    }
}

fn cost(request: &QueuedRequest) -> u32 {
    request.cost.clamp(1, MAX_COST)
}
