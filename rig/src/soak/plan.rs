//! What happens in a soak, drawn from its seed before it begins.

use fernspan_model::Time;
use fernspan_model::draw::Draw;

/// How large a run is, and what goes wrong in it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// Proxies, each with one process or two.
    pub proxies: usize,
    /// Setup servers.
    pub servers: usize,
    /// How long callers wait at most.
    pub deadline: Time,
    /// Whether many clients come at once.
    pub crowd: bool,
    /// How long clients call.
    pub length: Time,
    /// What goes wrong, in order of time.
    pub faults: Vec<Planned>,
}

/// A fault and its time.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    /// From when.
    pub at: Time,
    /// What.
    pub fault: Fault,
}

/// Something that goes wrong, or is done to a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A process is replaced by one that starts beside it.
    Upgrade {
        /// Which.
        proxy: usize,
        /// How it goes.
        how: Upgrade,
    },
    /// A process is asked to end, and another starts at once or after its end.
    Restart {
        /// Which.
        proxy: usize,
        /// The new one does not wait for the old one's end.
        at_once: bool,
    },
    /// A process is killed and started again.
    Kill {
        /// Which.
        proxy: usize,
    },
    /// New configurations in quick succession, some cut short: discovery has moved.
    Reloads {
        /// Whose.
        proxy: usize,
        /// How many.
        files: u32,
    },
    /// Discovery says nothing to a proxy, or is down.
    Discovery {
        /// To whom.
        proxy: usize,
        /// How.
        how: Silence,
        /// For how long.
        length: Time,
    },
    /// A setup server takes requests and answers none.
    Hang {
        /// Which.
        server: usize,
        /// For how long.
        length: Time,
    },
    /// A setup server's process dies and is replaced.
    Death {
        /// Which.
        server: usize,
        /// For how long nobody listens.
        length: Time,
    },
    /// A setup server drains, goes, and another has its address.
    Drain {
        /// Which.
        server: usize,
        /// From the word to the end.
        length: Time,
    },
    /// Nothing passes between a proxy and a server.
    Cut {
        /// The proxy.
        proxy: usize,
        /// The server.
        server: usize,
        /// For how long.
        length: Time,
    },
    /// Operators drain one proxy or three at once, and end that.
    Evacuate {
        /// The first of them.
        proxy: usize,
        /// How many.
        proxies: usize,
        /// From `evacuate` to `activate`.
        length: Time,
    },
    /// The settings change: a class comes or goes, and the number of attempts is another.
    Settings {
        /// Whose.
        proxy: usize,
    },
    /// Clients that write what nobody can read, stop half way or read nothing.
    BadClients {
        /// To whom.
        proxy: usize,
    },
    /// Many clients come at once.
    Crowd {
        /// To whom.
        proxy: usize,
    },
}

/// How an upgrade goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Upgrade {
    /// The new one says yes, and the old one is asked to end.
    Whole,
    /// The new one is killed before it can say yes.
    KilledBeforeYes,
    /// It is killed after its yes, before the old one is asked to end.
    KilledAfterYes,
    /// The old one is killed after the yes, before it is asked to end.
    OldKilled,
    /// A second one follows at once.
    Twice,
    /// Signals come in series: the configuration again, an end, a second end.
    Signals,
}

/// How discovery falls silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Its connections stay open.
    Mute,
    /// Nobody listens.
    Down,
    /// It closes in the middle of a line, again and again.
    Cut,
}

/// Quiet time before the first fault.
const CALM: f64 = 1_000_000.0;

impl Plan {
    /// Draws a run of that length, in microseconds.
    pub fn draw(seed: u64, length: Time) -> Plan {
        let mut draw = Draw::new(seed, 1);
        let proxies = 10 + pick(&mut draw, 11);
        let servers = 3 + pick(&mut draw, 3);
        let deadline = [300_000, 800_000, 2_000_000, 9_000_000][pick(&mut draw, 4)];
        let crowd = draw.chance(0.4);
        let mut faults = Vec::new();
        // A fault every quarter of a second on average: with lengths of seconds, several overlap at any time.
        let mut at = CALM;
        while at < length as f64 - 1_000_000.0 {
            let fault = draw_fault(&mut draw, proxies, servers, crowd);
            faults.push(Planned { at: at as Time, fault });
            at += draw.wait(250_000.0);
        }
        Plan { seed, proxies, servers, deadline, crowd, length, faults }
    }
}

/// One of so many, evenly.
fn pick(draw: &mut Draw, of: usize) -> usize {
    (draw.unit() * of as f64) as usize
}

fn draw_fault(draw: &mut Draw, proxies: usize, servers: usize, crowd: bool) -> Fault {
    let (proxy, server) = (pick(draw, proxies), pick(draw, servers));
    let length = draw.ms([500.0, 5_000.0]);
    let ways = [
        Upgrade::Whole,
        Upgrade::Whole,
        Upgrade::KilledBeforeYes,
        Upgrade::KilledAfterYes,
        Upgrade::OldKilled,
        Upgrade::Twice,
        Upgrade::Signals,
    ];
    let silences = [Silence::Mute, Silence::Down, Silence::Cut];
    let crowds = if crowd { 2.0 } else { 0.0 };
    match draw.weighted(&[6.0, 3.0, 1.0, 2.0, 2.0, 2.0, 1.0, 2.0, 2.0, 2.0, 3.0, 3.0, crowds]) {
        0 => Fault::Upgrade { proxy, how: ways[pick(draw, ways.len())] },
        1 => Fault::Restart { proxy, at_once: draw.chance(0.5) },
        2 => Fault::Kill { proxy },
        3 => Fault::Reloads { proxy, files: 1 + pick(draw, 12) as u32 },
        4 => Fault::Discovery { proxy, how: silences[pick(draw, silences.len())], length },
        5 => Fault::Hang { server, length },
        6 => Fault::Death { server, length },
        7 => Fault::Drain { server, length },
        8 => Fault::Cut { proxy, server, length },
        9 => Fault::BadClients { proxy },
        10 => {
            let length = draw.ms([100.0, 6_500.0]);
            Fault::Evacuate { proxy, proxies: if draw.chance(0.3) { 3 } else { 1 }, length }
        }
        11 => Fault::Settings { proxy },
        _ => Fault::Crowd { proxy },
    }
}
