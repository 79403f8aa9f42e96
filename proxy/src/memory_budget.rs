//! How many bytes may be held for clients. Without I/O and without a clock.
//!
//! Every bound on a count (connections, set-ups of a connection, entries of a queue) may be sound alone while their product
//! is more than the process has. So what is held for clients comes out of pools that are parts of the memory which the
//! process is given. A connection may hold a share of what is *free* in a pool: the more there are that want much, the
//! less each gets, and whoever holds much is refused first. Large set-ups cannot take the room of small ones, nor
//! connections that were never served that of callers who were.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pool {
    /// Set-ups of an ordinary length, from their head until their final answer.
    SmallSetups,
    /// Longer ones.
    LargeSetups,
    /// Answers that a client has not read yet.
    Answers,
}

const POOLS: usize = 3;
/// Bytes of a message from which on a set-up counts as large.
const LARGE: usize = 2_048;
/// Bytes that the tables hold for an open set-up, beside its message.
const SETUP_OVERHEAD: usize = 1_024;
/// How often the bytes of a set-up are held: by the core, and on the way to a server.
const SETUP_COPIES: usize = 2;
/// The same of an answer: by the core, and on the way to its client.
const ANSWER_COPIES: usize = 2;
/// Of what is free for it in a pool, a connection may hold one part in so many: one that was never served, and one that was.
const STRANGERS_PART: usize = 16;
const SERVED_PART: usize = 4;
/// Connections that were never served get one part in so many of a pool, all together.
const POOL_OVER_STRANGERS: usize = 2;

/// Bytes of each pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSizes {
    /// [`Pool::SmallSetups`].
    pub small_setups: usize,
    /// [`Pool::LargeSetups`].
    pub large_setups: usize,
    /// [`Pool::Answers`].
    pub answers: usize,
}

impl PoolSizes {
    /// For a process that is given so many bytes. A quarter of them: two processes share them during an upgrade, and the
    /// program, what servers send and the allocator's waste need room as well.
    pub fn for_memory(memory: usize) -> Self {
        PoolSizes { small_setups: memory / 16, large_setups: memory / 8, answers: memory / 16 }
    }

    fn of(&self, pool: Pool) -> usize {
        match pool {
            Pool::SmallSetups => self.small_setups,
            Pool::LargeSetups => self.large_setups,
            Pool::Answers => self.answers,
        }
    }
}

/// The account of all pools.
#[derive(Debug)]
pub struct MemoryBudget {
    sizes: PoolSizes,
    used: [usize; POOLS],
}

impl MemoryBudget {
    /// With nothing held yet.
    pub fn new(sizes: PoolSizes) -> Self {
        MemoryBudget { sizes, used: [0; POOLS] }
    }

    /// Bytes held in all pools.
    pub fn used(&self) -> usize {
        self.used.iter().sum()
    }

    /// Grants `bytes` to a connection that holds `held` of this pool already, or refuses them.
    fn grant(&mut self, pool: Pool, held: usize, served: bool, bytes: usize) -> bool {
        let size = self.sizes.of(pool);
        let (open_to_it, part) =
            if served { (size, SERVED_PART) } else { (size / POOL_OVER_STRANGERS, STRANGERS_PART) };
        let free = open_to_it.saturating_sub(self.used[pool as usize]);
        if held + bytes > free / part {
            return false;
        }
        self.used[pool as usize] += bytes;
        true
    }

    fn give_back(&mut self, pool: Pool, bytes: usize) {
        self.used[pool as usize] -= bytes;
    }
}

/// A budget that all connections of a front share.
pub type SharedBudget = Rc<RefCell<MemoryBudget>>;

/// What one connection holds.
#[derive(Debug)]
pub struct ConnectionMemory {
    budget: SharedBudget,
    held: [Cell<usize>; POOLS],
    served: Cell<bool>,
}

impl ConnectionMemory {
    /// Of a connection that has just opened.
    pub fn new(budget: SharedBudget) -> Rc<Self> {
        Rc::new(ConnectionMemory { budget, held: Default::default(), served: Cell::new(false) })
    }

    /// Of a connection that is bounded by other means.
    pub fn unlimited() -> Rc<Self> {
        let size = usize::MAX / 2;
        let sizes = PoolSizes { small_setups: size, large_setups: size, answers: size };
        ConnectionMemory::new(Rc::new(RefCell::new(MemoryBudget::new(sizes))))
    }

    /// A call of its stood: it may hold more from now on.
    pub fn mark_served(&self) {
        self.served.set(true);
    }

    /// Room for a set-up of so many bytes, until the reservation is dropped. None where it has to be refused.
    pub fn reserve_setup(self: &Rc<Self>, length: usize) -> Option<Reservation> {
        let pool = if length < LARGE { Pool::SmallSetups } else { Pool::LargeSetups };
        let bytes = SETUP_COPIES * length + SETUP_OVERHEAD;
        self.grant(pool, bytes).then(|| Reservation { connection: self.clone(), pool, bytes })
    }

    /// Room for an answer with a description of so many bytes. Says whether there is any.
    pub fn hold_answer(&self, length: usize) -> bool {
        self.grant(Pool::Answers, ANSWER_COPIES * length)
    }

    /// Such an answer has been written, or will not be.
    pub fn drop_answer(&self, length: usize) {
        self.give_back(Pool::Answers, ANSWER_COPIES * length);
    }

    fn grant(&self, pool: Pool, bytes: usize) -> bool {
        let held = &self.held[pool as usize];
        let granted = self.budget.borrow_mut().grant(pool, held.get(), self.served.get(), bytes);
        if granted {
            held.set(held.get() + bytes);
        }
        granted
    }

    fn give_back(&self, pool: Pool, bytes: usize) {
        let held = &self.held[pool as usize];
        let bytes = bytes.min(held.get());
        held.set(held.get() - bytes);
        self.budget.borrow_mut().give_back(pool, bytes);
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        for pool in [Pool::SmallSetups, Pool::LargeSetups, Pool::Answers] {
            self.give_back(pool, self.held[pool as usize].get());
        }
    }
}

/// Bytes that are held for a set-up; given back as it is dropped.
#[derive(Debug)]
pub struct Reservation {
    connection: Rc<ConnectionMemory>,
    pool: Pool,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.connection.give_back(self.pool, self.bytes);
    }
}

#[cfg(test)]
mod tests;
