//! A path to a setup server: passes bytes on, until the machine behind it vanishes.

use crate::record::Record;
use crate::sys;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Relay {
    pub addr: SocketAddr,
    record: Record,
    listener: Arc<TcpListener>,
    gone: Arc<AtomicBool>,
    /// Connections that fill the listener's queue, so that no other comes up.
    filling: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub fn start(record: &Record, to: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let relay = Relay {
            addr: listener.local_addr()?,
            record: record.clone(),
            listener: Arc::new(listener),
            gone: Arc::default(),
            filling: Arc::default(),
        };
        let here = relay.clone();
        std::thread::spawn(move || {
            while !here.gone.load(Ordering::SeqCst) {
                let Ok((near, _)) = here.listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = near.set_nonblocking(false);
                let Ok(far) = TcpStream::connect(to) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { continue };
                here.pass(near, far);
                here.pass(far2, near2);
            }
        });
        Ok(relay)
    }

    /// The machine behind vanishes: open connections stay open and silent, and new ones never come up.
    pub fn vanish(&self) -> Instant {
        self.gone.store(true, Ordering::SeqCst);
        let at = Instant::now();
        self.record.note("path", "the machine behind vanishes");
        // Past the accepting thread's last look.
        std::thread::sleep(Duration::from_millis(5));
        sys::shorten_queue(self.listener.as_raw_fd());
        for _ in 0..300 {
            match TcpStream::connect_timeout(&self.addr, Duration::from_millis(100)) {
                Ok(stream) => self.filling.lock().unwrap_or_else(|e| e.into_inner()).push(stream),
                Err(_) => break,
            }
        }
        at
    }

    fn is_gone(&self) -> bool {
        self.gone.load(Ordering::SeqCst)
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let here = self.clone();
        std::thread::spawn(move || {
            let mut chunk = [0; 16384];
            loop {
                match from.read(&mut chunk) {
                    Ok(n) if n > 0 && here.is_gone() => {}
                    Ok(n) if n > 0 => {
                        if to.write_all(&chunk[..n]).is_err() {
                            break;
                        }
                    }
                    _ => break,
                }
            }
            if !here.is_gone() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
            }
        });
    }
}
