//! A command channel: numbered events, a line each, and every second the last number.

use crate::world::{World, pause};
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

pub struct Channel {
    world: Arc<World>,
    pub address: String,
    events: Mutex<Vec<String>>,
    /// How long a connection waits for its first word, in milliseconds.
    pub first_word: AtomicU64,
    /// It closes all connections, and takes none.
    down: AtomicBool,
}

impl Channel {
    /// One that has told the first events by the configuration.
    pub fn start(world: &Arc<World>, known: Vec<String>) -> Arc<Channel> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let channel = Arc::new(Channel {
            world: world.clone(),
            address,
            events: Mutex::new(known),
            first_word: AtomicU64::new(0),
            down: AtomicBool::new(false),
        });
        let accepting = channel.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let channel = accepting.clone();
                thread::spawn(move || channel.serve(stream));
            }
        });
        channel
    }

    /// `known` of the configuration.
    pub fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        format!("{{\"cursor\":{},\"cmds\":[{}]}}", events.len(), events.join(","))
    }

    /// Tells an event: the fields of its servers.
    pub fn tell(&self, servers: &str) {
        let mut events = self.events.lock().unwrap();
        let cursor = events.len() + 1;
        let event = event(cursor, false, servers);
        self.world.say(format!("channel has event {event}"));
        events.push(event);
    }

    /// Goes down, or comes back.
    pub fn set_down(&self, down: bool) {
        self.world.say(if down { "channel is down" } else { "channel is back" });
        self.down.store(down, Ordering::SeqCst);
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let up = || Some(()).filter(|()| !self.down.load(Ordering::SeqCst));
        up()?;
        let mut line = String::new();
        BufReader::new(stream.try_clone().ok()?).read_line(&mut line).ok()?;
        let mut last: usize = line.trim().strip_prefix("resume ")?.parse().ok()?;
        let wait = self.first_word.load(Ordering::SeqCst);
        self.world.say(format!("channel is asked: {}; its first word comes in {wait} ms", line.trim()));
        pause(wait);
        let mut stream = stream;
        let mut turns = 0;
        loop {
            up()?;
            let events = self.events.lock().unwrap().clone();
            for event in &events[last.min(events.len())..] {
                self.world.say("channel writes an event");
                stream.write_all(format!("{event}\n").as_bytes()).ok()?;
            }
            last = events.len();
            if turns % 50 == 0 {
                stream.write_all(format!("{last}\n").as_bytes()).ok()?;
            }
            turns += 1;
            pause(20);
        }
    }
}

/// An event with these servers.
pub fn event(cursor: usize, full: bool, servers: &str) -> String {
    format!(
        "{{\"cursor\":{cursor},\"nodes\":{{\"version\":{cursor},\"full\":{full},\"servers\":[{servers}]}}}}"
    )
}

/// One server of an event, which has served for long.
pub fn entry(id: &str, address: &str, cell: usize, state: &str) -> String {
    entry_started(id, address, cell, state, 0)
}

/// The same of one that has started at a Unix millisecond.
pub fn entry_started(id: &str, address: &str, cell: usize, state: &str, at: u64) -> String {
    format!(
        "{{\"id\":\"{id}\",\"addr\":\"{address}\",\"zone\":\"stred\",\"kind\":\"std\",\"cell\":{cell},\
         \"state\":\"{state}\",\"weight\":1,\"started_ms\":{at}}}"
    )
}
