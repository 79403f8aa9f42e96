//! What the proxy reports of itself: counts since the start of the process, and how things stand now.
//!
//! Each count is raised where the event happens: an answer or an attempt that has been written whole, a file that has been
//! taken or turned down.

use crate::memory_budget::SharedBudget;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;

/// What the names of all figures begin with.
const PREFIX: &str = "edge_proxy";

/// What a final answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The call stands.
    Success,
    /// It was refused.
    Overload,
    /// It has failed.
    Error,
}

/// Final answers of one class.
#[derive(Clone, Copy, Debug, Default)]
struct Answers {
    success: u64,
    overload: u64,
    error: u64,
}

/// How things stand in the core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that were taken and have not ended: open set-ups, and calls that stand.
    pub concurrent: usize,
    /// Setup servers in the list.
    pub targets: usize,
    /// Those of them that are avoided now.
    pub targets_disabled: usize,
}

/// The figures of a process; clones share them.
#[derive(Clone, Default)]
pub struct Figures(Rc<Counts>);

#[derive(Default)]
struct Counts {
    answers: RefCell<BTreeMap<Rc<str>, Answers>>,
    dispatches: Cell<u64>,
    reloads_taken: Cell<u64>,
    reloads_turned_down: Cell<u64>,
    load: Cell<Load>,
    memory: RefCell<Option<SharedBudget>>,
}

impl Figures {
    /// What is held for callers out of this budget is reported from now on.
    pub fn watch_memory(&self, budget: SharedBudget) {
        *self.0.memory.borrow_mut() = Some(budget);
    }

    /// These classes are reported from now on. One that is dropped later keeps its counts.
    pub fn add_class(&self, name: Rc<str>) {
        self.0.answers.borrow_mut().entry(name).or_default();
    }

    /// A final answer to a set-up of this class has been written.
    pub fn answered(&self, class: &str, kind: AnswerKind) {
        if let Some(answers) = self.0.answers.borrow_mut().get_mut(class) {
            match kind {
                AnswerKind::Success => answers.success += 1,
                AnswerKind::Overload => answers.overload += 1,
                AnswerKind::Error => answers.error += 1,
            }
        }
    }

    /// So many attempts have been written whole to setup servers.
    pub fn dispatched(&self, attempts: u64) {
        self.0.dispatches.set(self.0.dispatches.get() + attempts);
    }

    /// A file was taken at SIGHUP, or turned down.
    pub fn reloaded(&self, taken: bool) {
        let count = if taken { &self.0.reloads_taken } else { &self.0.reloads_turned_down };
        count.set(count.get() + 1);
    }

    /// How things stand in the core from now on.
    pub fn set_load(&self, load: Load) {
        self.0.load.set(load);
    }

    /// All of them, a line each.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            // Writing to a text does not fail.
            let _ = writeln!(text, "{PREFIX}.{name}={value}");
        };
        for (class, answers) in self.0.answers.borrow().iter() {
            line(&format!("replies.{class}.success"), answers.success);
            line(&format!("replies.{class}.overload"), answers.overload);
            line(&format!("replies.{class}.error"), answers.error);
        }
        let load = self.0.load.get();
        line("dispatches", self.0.dispatches.get());
        line("concurrent", load.concurrent as u64);
        line("targets", load.targets as u64);
        line("targets_disabled", load.targets_disabled as u64);
        if let Some(budget) = self.0.memory.borrow().as_ref() {
            line("client_memory", budget.borrow().used() as u64);
        }
        line("reload_success", self.0.reloads_taken.get());
        line("reload_failure", self.0.reloads_turned_down.get());
        text
    }
}
