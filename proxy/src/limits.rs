//! Every size, count and time of the program, in one place: filled at start and handed down.

use crate::memory_budget::PoolSizes;
use fernspan_core::Time;
use std::time::Duration;

mod channel;
mod releases;

pub use channel::ChannelLimits;
pub use releases::ReleaseLimits;

/// Times are in microseconds where the engine counts them, else spans for a timer.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Longest message of any wire, in bytes.
    pub message: usize,
    /// Bytes asked of a socket at once.
    pub read: usize,
    /// Messages that may wait for the engine.
    pub core_queue: usize,
    /// Set-ups that may wait for one server, or be waiting on one of its connections.
    pub link_queue: usize,
    /// Messages of one server that may wait for its link; its connections are not read meanwhile.
    pub link_events: usize,
    /// Replies of the core that may wait for one caller's connection before other words than final answers and releases
    /// end it, and replies of the front that may.
    pub caller_queue: usize,
    pub own_queue: usize,
    /// How long after a server's refusal a second copy of it may come. They tell nothing of the attempt that they are
    /// for, so the same call is not sent on the same connection before; copies come some milliseconds late.
    pub copy: Time,
    /// Set-ups without an answer on one caller's connection at most; more are refused at once.
    pub open_per_caller: usize,
    /// Most circuits that a set-up may ask for.
    pub units: u32,
    /// Bytes held for callers at most.
    pub client_memory: PoolSizes,
    /// Connections held by callers at most.
    pub caller_conns: usize,
    /// Connections held by ENUM askers at most.
    pub askers: usize,
    /// A client's connection that says nothing for so long while nothing is owed on it is closed. Callers
    /// close theirs after 4 s without a call.
    pub idle: Duration,
    /// The same for one that was never served. Such a client is owed a word or a close within 3 s.
    pub first: Duration,
    /// A client's message that has begun is whole by then.
    pub rest: Duration,
    /// What is open on a caller's connection that nobody can read is answered by then. With `rest` it stays under
    /// the 3 s in which such a client is owed a word or a close.
    pub spoilt: Duration,
    /// A server's message that has begun is whole by then: others wait behind it.
    pub server_rest: Duration,
    /// A connection that came or was used within this time is not closed to make room.
    pub settle: Duration,
    /// Calls without a final answer at most; more are refused at once.
    pub open_calls: usize,
    /// Time-out of one look-up at a name server.
    pub attempt: Duration,
    /// Look-ups out at one name server at most; more are not sent.
    pub out_per_server: usize,
    /// How often the operator's file is looked at.
    pub watch: Duration,
    /// Connections to one server at most.
    pub server_conns: usize,
    /// A connection that is not up by then failed.
    pub connect: Duration,
    /// A write that takes longer ends its connection.
    pub write: Duration,
    /// A server connection silent for so long after a set-up is passed over for the next.
    pub quiet: Time,
    /// A probe that is not answered by then came to nothing. Its figure would be as old as half an interval of the window.
    pub probe: Time,
    /// With calls standing at a server that says nothing for so long, a new connection shows whether it lives.
    pub silent: Time,
    /// The same where each connection that there may be has set-ups open: the quietest is given up for the new one.
    pub forced_look: Time,
    /// A timer that fires later than this was held up by a standstill of the process.
    pub stall: Time,
    /// A server that cannot be reached for so long has vanished, and its calls with it.
    pub vanished: Time,
    /// The same where it will tell whether its calls are gone, from its last word. What stood is released within 8 s
    /// of its end: this, a connect and what may come late stay under that.
    pub gone: Time,
    /// A server that refuses connections, and has said nothing for so long on those that it has, is gone with what
    /// stands there; and one that has given no sign of life for so long. As late as the release may be, since one that
    /// drains may have nothing to say.
    pub mute: Time,
    /// A server that speaks again after a silence, with fewer lines in use than calls of ours, has released by then what had
    /// ended at it; else it is another process.
    pub restart_verdict: Duration,
    /// Wait before a server is connected to again, on average.
    pub reconnect: Duration,
    /// The same while its whole site is out of reach.
    pub resting: Duration,
    /// The same once another server of its site speaks again.
    pub awake: Duration,
    /// How long no further connection is asked of a server that had none left, on average.
    pub sparing: Duration,
    /// The command channel.
    pub channel: ChannelLimits,
    /// The engine answers this long before the caller stops waiting.
    pub margin: Time,
    /// Ended calls that are remembered.
    pub remembered: usize,
    /// A release that was not heard, by a caller or a server, goes out again if its connection ends within this time.
    pub heard: Duration,
    /// Releases that setup servers write where nobody hears them.
    pub releases: ReleaseLimits,
    /// Releases kept for callers that have no connection open.
    pub undelivered: usize,
    /// The end of the process.
    pub shutdown: ShutdownLimits,
    /// A drain.
    pub drain: DrainLimits,
    /// How often it is looked which connections may close, in a drain and at the end of the process.
    pub close_interval: Duration,
    /// Time for the last answers to leave the program.
    pub flush: Duration,
    /// Pause of a listener that cannot accept now.
    pub pause: Duration,
    /// An address that is in use at the start is waited for so long. A predecessor ends within 4 s of its SIGTERM, and
    /// the platform wants a yes within 10 s.
    pub bind_timeout: Duration,
    /// How often an address in use is tried.
    pub bind_retry_interval: Duration,
    /// Connections of operators at most.
    pub management_connections: usize,
    /// A silent connection of an operator that came within this time is not closed to make room.
    pub management_settle: Duration,
    /// How often the core reports its load; the figures may be 0.5 s old.
    pub load_interval: Duration,
    /// Messages that may wait for another process of this proxy; beyond that it is given up.
    pub peer_queue: usize,
    /// Another process that is there at the start has said what operators have asked for by then.
    pub peer_greeting_timeout: Duration,
    /// An operator's line is whole by then.
    pub management_line_timeout: Duration,
}

/// The end of a process, from SIGTERM on.
#[derive(Clone, Debug)]
pub struct ShutdownLimits {
    /// New connections are accepted for so long, and all work is taken.
    pub accept: Duration,
    /// Everything is answered by then, before the platform kills.
    pub answer_deadline: Duration,
    /// The last connections close by then: nothing that comes on them would be answered after the kill.
    pub close_deadline: Duration,
}

impl ShutdownLimits {
    /// From the longest that a caller of any class waits. The platform kills once that, 3 s at most, and 0.7 s have passed.
    pub fn for_longest_deadline(longest: Time) -> Self {
        const LONGEST_COUNTED: Duration = Duration::from_secs(3);
        const ACCEPT: Duration = Duration::from_millis(700);
        // Time for the last answers to leave, and for the last connections to close.
        const ANSWERS_LEAVE: Duration = Duration::from_millis(400);
        const CLOSES_ARRIVE: Duration = Duration::from_millis(150);
        let kill = Duration::from_micros(longest).min(LONGEST_COUNTED) + ACCEPT;
        let answer_deadline = kill.saturating_sub(ANSWERS_LEAVE).max(ACCEPT);
        let close_deadline = kill.saturating_sub(CLOSES_ARRIVE).max(answer_deadline);
        ShutdownLimits { accept: ACCEPT, answer_deadline, close_deadline }
    }
}

/// A drain, from an operator's call on. 4 s after it no connection may be held idle, or with a request of the last 2 s.
#[derive(Clone, Debug)]
pub struct DrainLimits {
    /// A new connection on which nothing has come is not idle before.
    pub unused_grace: Duration,
    /// From then on new set-ups are refused at once.
    pub refuse_after: Duration,
    /// From then on connections close on which set-ups were refused; what is owed on them is answered.
    pub end_busy_after: Duration,
    /// From then on a message that has begun keeps no older connection open.
    pub cut_after: Duration,
}

impl Default for DrainLimits {
    fn default() -> Self {
        DrainLimits {
            unused_grace: Duration::from_millis(500),
            refuse_after: Duration::from_millis(1_800),
            end_busy_after: Duration::from_millis(3_300),
            cut_after: Duration::from_millis(3_800),
        }
    }
}

impl Limits {
    /// From the figures that are given: descriptors, bytes of memory, open calls, the longest wait for a connection
    /// and the longest that a caller of any class waits.
    pub fn new(sockets: usize, memory: usize, open_calls: usize, connect: Duration, longest: Time) -> Self {
        Limits {
            message: 16 * 1024,
            read: 16 * 1024,
            core_queue: (memory >> 15).clamp(256, 4096),
            link_queue: 512,
            link_events: 32,
            caller_queue: 256,
            own_queue: 16,
            copy: 100_000,
            open_per_caller: 128,
            client_memory: PoolSizes::for_memory(memory),
            units: 64,
            // Callers hold a third by the protocol; as much again is left for servers and spare.
            caller_conns: (sockets / 2).max(8),
            askers: 64,
            idle: Duration::from_secs(5),
            first: Duration::from_millis(1_500),
            rest: Duration::from_secs(2),
            spoilt: Duration::from_millis(900),
            server_rest: Duration::from_millis(250),
            settle: Duration::from_millis(150),
            open_calls,
            attempt: Duration::from_millis(800),
            out_per_server: 64,
            watch: Duration::from_secs(1),
            server_conns: 4,
            connect,
            write: Duration::from_secs(2),
            quiet: 500_000,
            probe: 500_000,
            silent: 2_000_000,
            forced_look: 3_500_000,
            stall: 300_000,
            vanished: 2_000_000,
            gone: 6_000_000,
            mute: 7_200_000,
            restart_verdict: Duration::from_millis(250),
            reconnect: Duration::from_millis(500),
            resting: Duration::from_secs(2),
            awake: Duration::from_millis(200),
            // About as long as a burst of calls, which is when more are asked for.
            sparing: Duration::from_secs(10),
            channel: ChannelLimits::default(),
            margin: 20_000,
            remembered: (memory >> 12).clamp(1_000, 50_000),
            heard: Duration::from_millis(500),
            releases: ReleaseLimits::for_connect(connect),
            undelivered: (memory >> 13).clamp(1_000, 10_000),
            shutdown: ShutdownLimits::for_longest_deadline(longest),
            drain: DrainLimits::default(),
            close_interval: Duration::from_millis(10),
            flush: Duration::from_millis(250),
            pause: Duration::from_millis(20),
            bind_timeout: Duration::from_secs(9),
            bind_retry_interval: Duration::from_millis(20),
            management_connections: (sockets / 16).clamp(4, 64),
            load_interval: Duration::from_millis(50),
            peer_queue: 32_768,
            peer_greeting_timeout: Duration::from_millis(300),
            management_settle: Duration::from_millis(20),
            management_line_timeout: Duration::from_secs(1),
        }
    }
}

#[cfg(test)]
mod tests;
