//! The classes of call by number: those that set-ups may name now, and those that open set-ups still have.
//!
//! A class that a new configuration changes or drops keeps its number, with its rules, for as long as set-ups are open that
//! came with it. Without I/O and without a clock.

use fernspan_core::Class;
use std::collections::BTreeSet;
use std::rc::Rc;

/// One class under its number.
#[derive(Clone, Debug)]
struct Entry {
    name: Rc<str>,
    rules: Class,
    /// Whether set-ups may name it.
    listed: bool,
}

/// All classes, by number.
#[derive(Clone, Debug, Default)]
pub struct ClassTable(Vec<Entry>);

impl ClassTable {
    /// The classes of the first configuration, in its order.
    pub fn new(classes: Vec<Class>) -> Self {
        ClassTable(classes.into_iter().map(Entry::new).collect())
    }

    /// Takes the classes of another configuration. `in_use` are the numbers that open set-ups have. One that was dropped
    /// earlier and is not in use is given to another class; one that is dropped now is not yet, as set-ups may be on their
    /// way that name it.
    ///
    /// Gives the numbers that mean another class now.
    pub fn replace(&mut self, classes: Vec<Class>, in_use: &BTreeSet<usize>) -> BTreeSet<usize> {
        let mut replaced = BTreeSet::new();
        let mut free: Vec<usize> =
            (0..self.0.len()).filter(|number| !self.0[*number].listed && !in_use.contains(number)).collect();
        let before: BTreeSet<usize> = (0..self.0.len()).filter(|number| self.0[*number].listed).collect();
        self.0.iter_mut().for_each(|entry| entry.listed = false);
        for rules in classes {
            if self.number(&rules.name).is_some() {
                continue;
            }
            if let Some(same) = before.iter().find(|number| self.0[**number].rules == rules) {
                self.0[*same].listed = true;
            } else if let Some(number) = free.pop() {
                self.0[number] = Entry::new(rules);
                replaced.insert(number);
            } else {
                self.0.push(Entry::new(rules));
            }
        }
        replaced
    }

    /// The number of the class that set-ups name so.
    pub fn number(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|entry| entry.listed && *entry.name == *name)
    }

    /// The name of a class.
    pub fn name(&self, number: usize) -> Rc<str> {
        self.0.get(number).map_or_else(|| "".into(), |entry| entry.name.clone())
    }

    /// The rules of a class.
    pub fn rules(&self, number: usize) -> Option<&Class> {
        self.0.get(number).map(|entry| &entry.rules)
    }

    /// The rules of all classes, by number.
    pub fn all_rules(&self) -> Vec<Class> {
        self.0.iter().map(|entry| entry.rules.clone()).collect()
    }

    /// The classes that set-ups may name, with their numbers.
    pub fn listed(&self) -> impl Iterator<Item = (usize, &Class)> {
        self.0
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.listed)
            .map(|(number, entry)| (number, &entry.rules))
    }
}

impl Entry {
    fn new(rules: Class) -> Self {
        Entry { name: rules.name.as_str().into(), rules, listed: true }
    }
}

#[cfg(test)]
mod tests;
