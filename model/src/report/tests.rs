use super::*;

fn person(first: Time, fate: Fate) -> Person {
    Person { first, channel: 0, fate, stood_after: None, tries: 1, second_choice: false, cause: 0 }
}

#[test]
fn service_counts_a_late_call_for_a_quarter_and_finds_the_worst_stretch() {
    let mut record = Record::new(1);
    for s in 0..30_u64 {
        let fate = match s {
            10..20 => Fate::Refused,
            20.. => Fate::Late,
            _ => Fate::InTime,
        };
        record.people.push(person(s * 1_000_000, fate));
    }
    let figures = record.figures(1, 1);
    assert!((figures.service - 12.5 / 30.0).abs() < 1e-9);
    assert_eq!(figures.worst_10_s, 0.0);
    assert_eq!(figures.channels, [figures.service]);
}

#[test]
fn load_is_set_ups_over_what_the_server_could_do() {
    let mut record = Record::new(2);
    for i in 0..100_u64 {
        for server in 0..2 {
            record.samples.push(Sample {
                at: i * 100_000,
                server,
                site: 0,
                did: Tally { setups: if server == 0 { 1 } else { 2 * (i % 2) }, ..Tally::default() },
                rate: 20.0,
                capacity: 20.0,
                calls: 0,
                queue: 0,
                connections: 0,
                room: true,
            });
        }
    }
    let load = record.figures(1, 1).load;
    assert!((load.by_server[0] - 0.5).abs() < 1e-9 && (load.by_server[1] - 0.5).abs() < 1e-9);
    assert!((load.highest[0] - 1.0).abs() < 1e-9, "{load:?}");
    assert_eq!(load.dispersion, 0.0, "ten in every second");
}
