//! The socket and the clock of a member.

use crate::node::{Datagram, Node};
use crate::shares::{Amount, Run, Time};
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A member's clock: monotonic, so that steps of the wall clock change nothing.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// One that begins now.
    pub fn new() -> Clock {
        Clock(Instant::now())
    }

    /// Microseconds since its begin. A process that was stopped finds them gone by.
    pub fn now(&self) -> Time {
        self.0.elapsed().as_micros() as Time
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

/// A number for this start of a process that is higher than that of the one before: Unix milliseconds.
pub fn run() -> Run {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_millis() as Run)
}

/// A member on a socket, shared with those that use its budgets.
#[derive(Clone)]
pub struct Member {
    node: Rc<RefCell<Node>>,
    clock: Clock,
}

impl Member {
    /// Wraps a member whose clock this is.
    pub fn new(node: Node, clock: Clock) -> Member {
        Member { node: Rc::new(RefCell::new(node)), clock }
    }

    /// What may be used of a budget now: ask right before the use.
    pub fn share(&self, budget: usize) -> Amount {
        self.node.borrow().share(budget, self.clock.now())
    }

    /// Looks at the member, with the time of its clock.
    pub fn with<T>(&self, f: impl FnOnce(&mut Node, Time) -> T) -> T {
        f(&mut self.node.borrow_mut(), self.clock.now())
    }

    /// Serves until the socket fails.
    ///
    /// # Errors
    /// A socket that cannot be read any more.
    pub async fn serve(&self, socket: &Async<UdpSocket>) -> io::Result<()> {
        let mut bytes = [0; 2_048];
        loop {
            let wait = self.with(|node, now| node.due().saturating_sub(now));
            let came = future::or(async { Some(socket.recv_from(&mut bytes).await) }, async {
                Timer::after(Duration::from_micros(wait)).await;
                None
            })
            .await;
            let mut out: Vec<Datagram> = Vec::new();
            match came {
                Some(Ok((length, SocketAddr::V4(from)))) => {
                    self.with(|node, now| node.datagram(now, from, &bytes[..length], &mut out));
                }
                // Guards against a neighbour that is gone: its port says so here.
                Some(Err(e)) if e.kind() != io::ErrorKind::ConnectionRefused => return Err(e),
                _ => {}
            }
            self.with(|node, now| {
                if now >= node.due() {
                    node.turn(now, &mut out);
                }
            });
            for (to, bytes) in out {
                // What the socket has no room for is lost, as on the way.
                let _ = socket.get_ref().send_to(&bytes, to);
            }
        }
    }
}
