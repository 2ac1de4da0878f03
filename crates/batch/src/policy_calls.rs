//! Number and time limits of the calls to the policy service.
//!
//! The service handles the calls of one VM one after another, those that the VM has given up
//! included. Calls beyond what the network needs only wait there and make the answers to all others
//! late, so few are under way. A call that is given up costs the service as much as one that is
//! answered, so a late one is waited for while another goes out beside it.

use base::clock::Millis;

use crate::{
    policy::StepId,
    window::{Window, WindowCfg},
};

/// Size of the window. One call keeps the service busy unless the network takes longer than the
/// decision.
const WINDOW: WindowCfg = WindowCfg {
    initial: 1.0,
    min: 1.0,
    max: 8.0,
    increase: 1.0,
    decrease: 0.5,
};
/// Maximum number of calls without an answer, late ones included. The service refuses all calls
/// beyond 32, among them those that an earlier process of the VM has left.
const MAX_UNANSWERED: usize = 8;
/// Minimum time beyond the processing times after which a call is late, for the network and for calls
/// that an earlier process of the VM has left.
const MIN_ALLOWANCE: Millis = Millis(2_000);
/// Factor by which the allowance falls with each answer.
const ALLOWANCE_DECAY: f64 = 0.9;
/// Time after which a call is given up. Answers are used however late they are, so this only limits how
/// long a call on a lost connection is kept.
pub(crate) const ANSWER_LIMIT: Millis = Millis(30_000);

/// A call without an answer so far.
#[derive(Debug)]
struct Call {
    id: u64,
    step: StepId,
    sent: Millis,
    processing: Millis,
    /// Time by which the service has handled it, by the processing times of all calls.
    due: Millis,
    /// Whether no other call was under way when it was sent.
    was_alone: bool,
    /// Whether the window was full from this call on.
    filled_window: bool,
    is_late: bool,
}

/// The calls of this VM to the policy service.
#[derive(Debug)]
pub(crate) struct PolicyCalls {
    next_id: u64,
    window: Window,
    unanswered: Vec<Call>,
    /// Time by which the service has handled all calls, by their processing times.
    handled_at: Millis,
    /// Time that an answer takes beyond its processing time if no other call is under way.
    network: Millis,
    /// Time after `due` at which a call is late.
    allowance: Millis,
}

impl Default for PolicyCalls {
    fn default() -> Self {
        Self {
            next_id: 0,
            window: Window::new(WINDOW),
            unanswered: Vec::new(),
            handled_at: Millis::ZERO,
            network: Millis::ZERO,
            allowance: MIN_ALLOWANCE,
        }
    }
}

impl PolicyCalls {
    /// Finds the calls that are late. Each makes room for another call.
    pub(crate) fn advance(&mut self, now: Millis) {
        let allowance = self.allowance;
        let is_overdue = |c: &&mut Call| !c.is_late && now >= c.due + allowance;
        for call in self.unanswered.iter_mut().filter(is_overdue) {
            call.is_late = true;
            self.window.decrease(call.sent, now);
            log::warn!(
                step:% = call.step, ms = now.since(call.sent).0, processing_ms = call.processing.0,
                allowance_ms = allowance.0;
                "policy: the answer is late"
            );
        }
    }

    /// Returns how many calls may be sent now.
    pub(crate) fn room(&self) -> usize {
        let in_window = self.unanswered.iter().filter(|c| !c.is_late).count();
        let in_all = MAX_UNANSWERED.saturating_sub(self.unanswered.len());
        self.window.size().saturating_sub(in_window).min(in_all)
    }

    /// Returns whether a call for the step is under way and not late.
    pub(crate) fn is_under_way(&self, step: &StepId) -> bool {
        let mut calls = self.unanswered.iter();
        calls.any(|c| !c.is_late && c.step == *step)
    }

    /// Records a call that is sent now, and returns its number.
    pub(crate) fn send(&mut self, step: StepId, processing: Millis, now: Millis) -> u64 {
        self.next_id += 1;
        self.handled_at = self.handled_at.max(now) + processing;
        self.unanswered.push(Call {
            id: self.next_id,
            step,
            sent: now,
            processing,
            due: self.handled_at,
            was_alone: self.unanswered.is_empty(),
            filled_window: self.room() <= 1,
            is_late: false,
        });
        self.next_id
    }

    /// Records the end of a call, with or without an answer.
    pub(crate) fn end(&mut self, id: u64, answered: bool, now: Millis) {
        let Some(i) = self.unanswered.iter().position(|c| c.id == id) else {
            return;
        };
        let call = self.unanswered.remove(i);
        if !answered {
            self.window.decrease(call.sent, now);
            return;
        }
        if self.unanswered.is_empty() {
            self.handled_at = now;
        }
        let beyond = now.since(call.sent).since(call.processing);
        self.network = if call.was_alone {
            beyond
        } else {
            self.network.min(beyond)
        };
        let late_by = now.since(call.due);
        let decayed = Millis((self.allowance.0 as f64 * ALLOWANCE_DECAY) as u64);
        self.allowance = decayed.max(late_by + late_by).max(MIN_ALLOWANCE);
        let in_queue = beyond.since(self.network);
        if in_queue > call.processing {
            self.window.decrease(call.sent, now);
        } else if call.filled_window {
            self.window.increase();
        }
    }

    /// Returns the number of calls without an answer.
    pub(crate) fn unanswered(&self) -> usize {
        self.unanswered.len()
    }

    /// Returns the maximum number of calls under way.
    pub(crate) fn window_size(&self) -> usize {
        self.window.size()
    }
}
