//! The ids of the latest calls of a kind. Without I/O and without a clock.

use fernspan_core::CallId;
use std::collections::{HashSet, VecDeque};

/// So many ids, of which the oldest is forgotten first.
#[derive(Debug)]
pub struct RememberedCalls {
    ids: HashSet<CallId>,
    order: VecDeque<CallId>,
    most: usize,
}

impl RememberedCalls {
    /// None yet, and so many at most.
    pub fn new(most: usize) -> Self {
        RememberedCalls { ids: HashSet::new(), order: VecDeque::new(), most }
    }

    /// Remembers a call. Says whether it is new.
    pub fn add(&mut self, id: CallId) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > self.most
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        true
    }

    /// Whether it is remembered.
    pub fn contains(&self, id: CallId) -> bool {
        self.ids.contains(&id)
    }

    /// All of them, the latest first.
    pub fn latest(&self) -> impl Iterator<Item = CallId> {
        self.order.iter().rev().copied()
    }
}
