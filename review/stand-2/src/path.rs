//! A path between the proxy and a server: passes bytes on, until a connection on it falls quiet.

use crate::world::{World, pause};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

pub struct Path {
    world: Arc<World>,
    pub address: String,
    /// How long bytes are on their way.
    delay: Duration,
    /// Connections that pass nothing on any more and stay open; they count from 1.
    quiet: Mutex<BTreeSet<u64>>,
}

impl Path {
    pub fn start(world: &Arc<World>, to: &str, delay_ms: u64) -> Arc<Path> {
        let delay = Duration::from_millis(delay_ms);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let path = Arc::new(Path { world: world.clone(), address, delay, quiet: Mutex::default() });
        let (accepting, to) = (path.clone(), to.to_owned());
        thread::spawn(move || {
            for (number, near) in (1..).zip(listener.incoming().flatten()) {
                let Ok(far) = TcpStream::connect(&to) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let ends = [(&near, &far), (&far, &near)];
                for (from, onto) in ends {
                    let (from, onto) = (from.try_clone().unwrap(), onto.try_clone().unwrap());
                    let path = accepting.clone();
                    thread::spawn(move || path.pass(number, from, onto));
                }
            }
        });
        path
    }

    /// Lets a connection fall quiet. It stays open.
    pub fn fall_quiet(&self, number: u64) {
        self.world.say(format!("path: connection {number} falls quiet and remains open"));
        self.quiet.lock().unwrap().insert(number);
    }

    fn is_quiet(&self, number: u64) -> bool {
        self.quiet.lock().unwrap().contains(&number)
    }

    fn pass(&self, number: u64, mut from: TcpStream, mut onto: TcpStream) {
        let (put, take) = mpsc::channel::<(Instant, Vec<u8>)>();
        thread::scope(|scope| {
            scope.spawn(move || {
                // An empty piece is the end.
                while let Ok((due, bytes)) = take.recv() {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    while self.is_quiet(number) {
                        pause(1_000);
                    }
                    if bytes.is_empty() || onto.write_all(&bytes).is_err() {
                        let _ = onto.shutdown(Shutdown::Both);
                        return;
                    }
                }
            });
            let mut chunk = [0; 4096];
            loop {
                let read = from.read(&mut chunk).unwrap_or(0);
                let sent = put.send((Instant::now() + self.delay, chunk[..read].to_vec()));
                if read == 0 || sent.is_err() {
                    return;
                }
            }
        });
    }
}
