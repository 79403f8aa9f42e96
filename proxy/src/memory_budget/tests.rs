use super::*;

const MEMORY: usize = 32 << 20;
const LARGEST: usize = 16_384;

fn budget() -> SharedBudget {
    Rc::new(RefCell::new(MemoryBudget::new(PoolSizes::for_memory(MEMORY))))
}

/// Everything that one connection is granted of set-ups of a length.
fn fill(connection: &Rc<ConnectionMemory>, length: usize) -> Vec<Reservation> {
    std::iter::from_fn(|| connection.reserve_setup(length)).collect()
}

/// Guards the process against the product of bounds that are sound alone.
#[test]
fn all_clients_together_hold_a_part_of_the_memory() {
    let budget = budget();
    let clients: Vec<_> = (0..512).map(|_| ConnectionMemory::new(budget.clone())).collect();
    let held: Vec<_> = clients
        .iter()
        .flat_map(|client| {
            client.mark_served();
            while client.hold_answer(LARGEST) {}
            [fill(client, LARGEST), fill(client, 200)].into_iter().flatten()
        })
        .collect();
    assert!(held.len() > 100, "{}", held.len());
    assert!(budget.borrow().used() <= MEMORY / 4, "{}", budget.borrow().used());
    drop((held, clients));
    assert_eq!(budget.borrow().used(), 0);
}

/// Guards usual callers against strangers that take all there is, with large set-ups or with small ones.
#[test]
fn a_usual_caller_finds_room_beside_greedy_strangers() {
    for length in [200, LARGEST] {
        let budget = budget();
        let usual = ConnectionMemory::new(budget.clone());
        usual.mark_served();
        let strangers: Vec<_> = (0..330).map(|_| ConnectionMemory::new(budget.clone())).collect();
        let held: Vec<_> = strangers.iter().map(|stranger| fill(stranger, length)).collect();
        assert!(fill(&usual, 200).len() >= 25, "beside set-ups of {length} bytes");
        drop(held);
    }
}

/// Guards clients that come late against those who were first: whoever holds much is refused before.
#[test]
fn who_holds_much_is_refused_before_who_holds_little() {
    let budget = budget();
    let (greedy, modest) = (ConnectionMemory::new(budget.clone()), ConnectionMemory::new(budget.clone()));
    let held = fill(&greedy, LARGEST);
    assert!(held.len() >= 3 && greedy.reserve_setup(LARGEST).is_none());
    assert!(modest.reserve_setup(LARGEST).is_some());
}
