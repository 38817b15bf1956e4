//! A link between one daemon and an address of the platform, which a partition may interrupt.
//!
//! While it is interrupted, bytes are held up, and arrive when it has healed. They are lost if their
//! sender has reset or closed the connection by then.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How often a waiting thread looks at the link again.
const POLL: Duration = Duration::from_millis(2);

/// The links of one daemon.
#[derive(Debug, Default)]
pub struct Link {
    interrupted: AtomicBool,
    /// When the interruption by the trap ends.
    ends: Mutex<Option<Instant>>,
    /// Text whose arrival interrupts the link, and for how long.
    trap: Mutex<Option<(&'static str, Duration)>>,
    /// When the trap closed.
    pub trapped_at: Mutex<Option<Instant>>,
}

impl Link {
    /// Interrupts the link for `duration` as soon as `text` is on its way to the platform.
    pub fn set_trap(&self, text: &'static str, duration: Duration) {
        *self.trap.lock().expect("no thread panics") = Some((text, duration));
    }

    /// Removes the trap if it has not closed.
    pub fn clear_trap(&self) {
        *self.trap.lock().expect("no thread panics") = None;
    }

    /// Interrupts the link, or heals it.
    fn interrupt(&self, on: bool) {
        self.interrupted.store(on, Ordering::SeqCst);
    }

    /// Serves a free port from which connections lead to `target`, and returns its address.
    pub fn serve(self: &Arc<Self>, target: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let link = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let link = link.clone();
                std::thread::spawn(move || link.carry(stream, target));
            }
        });
        address
    }

    fn carry(self: Arc<Self>, daemon: TcpStream, target: SocketAddr) -> Option<()> {
        self.wait_until_healed();
        if is_closed(&daemon) {
            return None;
        }
        let platform = TcpStream::connect(target).ok()?;
        for stream in [&daemon, &platform] {
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(Duration::from_millis(20))).ok()?;
        }
        let (from, to) = (platform.try_clone().ok()?, daemon.try_clone().ok()?);
        let back = self.clone();
        std::thread::spawn(move || back.copy(from, to, false));
        self.copy(daemon, platform, true);
        Some(())
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, outward: bool) {
        let mut bytes = [0; 16 * 1024];
        loop {
            let count = match from.read(&mut bytes) {
                Ok(0) => break,
                Ok(count) => count,
                Err(error)
                    if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) =>
                {
                    continue;
                }
                Err(_) => break,
            };
            if outward {
                self.spring_trap(&bytes[..count]);
            }
            let held = self.wait_until_healed();
            if held && is_closed(&from) {
                break;
            }
            if to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        self.wait_until_healed();
        drop(to.shutdown(Shutdown::Both));
        drop(from.shutdown(Shutdown::Both));
    }

    fn spring_trap(&self, bytes: &[u8]) {
        let mut trap = self.trap.lock().expect("no thread panics");
        let Some((text, duration)) = *trap else { return };
        if bytes.windows(text.len()).any(|part| part == text.as_bytes()) {
            *trap = None;
            self.interrupt(true);
            *self.trapped_at.lock().expect("no thread panics") = Some(Instant::now());
            *self.ends.lock().expect("no thread panics") = Some(Instant::now() + duration);
        }
    }

    /// Waits while the link is interrupted; returns whether it was.
    fn wait_until_healed(&self) -> bool {
        let mut waited = false;
        while self.interrupted.load(Ordering::SeqCst) {
            waited = true;
            let ends = *self.ends.lock().expect("no thread panics");
            if ends.is_some_and(|ends| Instant::now() >= ends) {
                self.interrupt(false);
            }
            std::thread::sleep(POLL);
        }
        waited
    }
}

/// Returns whether the far end has closed or reset a connection.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let outcome = stream.peek(&mut [0]);
    drop(stream.set_nonblocking(false));
    match outcome {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
