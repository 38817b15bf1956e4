//! Callers: sessions with the daemons, in threads of their own.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::database;
use crate::record;

/// Time after which a caller gives a response up.
const RESPONSE_MAX: Duration = Duration::from_millis(2_500);

/// A session with a daemon.
#[derive(Debug)]
pub struct Session {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Session {
    /// Opens a session.
    pub fn open(host: SocketAddr, database: &str, key: &str) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&host, Duration::from_millis(500)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(RESPONSE_MAX)).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        let mut session = Self { stream, reader };
        let startup = format!("STARTUP {database} {key}\r\n");
        session.stream.write_all(startup.as_bytes()).ok()?;
        let mut line = String::new();
        session.reader.read_line(&mut line).ok()?;
        line.starts_with("READY ").then_some(session)
    }

    /// Sends a statement and returns the line before READY; `None` if the response is incomplete.
    pub fn query(&mut self, id: &str, text: &str) -> Option<String> {
        self.stream.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).ok()?;
        let mut outcome = String::new();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if line.starts_with("READY ") {
                return Some(outcome);
            }
            outcome = line.to_owned();
        }
    }
}

/// Starts a caller that sends single writes, one after the other, until `stop` is set. It records
/// what it sends and how that ends.
pub fn start_writer(
    name: String,
    hosts: Vec<SocketAddr>,
    route: &'static str,
    pause: Duration,
    group: Arc<database::Group>,
    record: Arc<record::Record>,
    stop: Arc<AtomicBool>,
) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let mut session = None;
        let mut next_host = 0;
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(pause);
            let Some(open) = &mut session else {
                session = Session::open(hosts[next_host % hosts.len()], route, "key1");
                next_host += 1;
                continue;
            };
            number += 1;
            let id = format!("{name}-{number}");
            record.note(&format!("{id} sends WRITE"));
            match open.query(&id, &format!("WRITE item{number} data")) {
                Some(outcome) => {
                    if outcome.starts_with("COMPLETE ") {
                        group.acknowledge(&id);
                    }
                    record.note(&format!("{id} gets {outcome}"));
                }
                None => {
                    record.note(&format!("{id} gets no answer"));
                    session = None;
                }
            }
        }
    })
}
