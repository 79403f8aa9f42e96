//! The command channel: `resume N`, then all later events and every second the last number.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Handles share one channel.
#[derive(Clone)]
pub struct Channel {
    pub addr: SocketAddr,
    record: Record,
    events: Arc<Mutex<Vec<(u64, String)>>>,
    /// How long it takes to serve a `resume`.
    served_after: Duration,
}

impl Channel {
    /// Listens at a free loopback address; the event of the start has number 1.
    pub fn start(record: &Record, served_after: Duration) -> std::io::Result<Channel> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let channel = Channel { addr, record: record.clone(), events: Arc::default(), served_after };
        let here = channel.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let here = here.clone();
                std::thread::spawn(move || {
                    let _ = here.serve(stream);
                });
            }
        });
        Ok(channel)
    }

    /// Puts an event into the channel.
    pub fn tell(&self, cursor: u64, event: String) -> Instant {
        self.record.note("channel", &format!("has event {cursor}: {event}"));
        if let Ok(mut events) = self.events.lock() {
            events.push((cursor, event));
        }
        Instant::now()
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut line = String::new();
        BufReader::new(stream.try_clone()?).read_line(&mut line)?;
        let mut last: u64 = line.trim().strip_prefix("resume ").and_then(|n| n.parse().ok()).unwrap_or(0);
        self.record.note("channel", &format!("is asked: {}", line.trim()));
        std::thread::sleep(self.served_after);
        let mut said = Instant::now() - Duration::from_secs(2);
        loop {
            let later: Vec<(u64, String)> = {
                let events = self.events.lock().unwrap_or_else(|e| e.into_inner());
                events.iter().filter(|e| e.0 > last).cloned().collect()
            };
            for (cursor, event) in later {
                if let Err(e) = stream.write_all(format!("{event}\n").as_bytes()) {
                    self.record.note("channel", "the connection has ended before it could be told");
                    return Err(e);
                }
                self.record.note("channel", &format!("tells event {cursor}"));
                last = cursor;
            }
            if said.elapsed() >= Duration::from_secs(1) {
                stream.write_all(format!("{}\n", last.max(1)).as_bytes())?;
                said = Instant::now();
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
