//! Clients that leave, replicas that record the arrival of requests, and an outage of one replica.

use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::SockRef;

use super::{
    ClientOutcome, DIALECTS, Gateway, STREAM_HEAD, closing_events, connect, encode_chunk, header, ms,
    read_message, read_outcome, replica_entry_at, request, text_event,
};

/// Maximum time from a client's departure to the last byte of an attempt. The tests provoke attempts after
/// at least three times this delay, so that a busy machine makes no difference.
pub(crate) const MAX_SEND_DELAY: Duration = Duration::from_millis(100);
pub(crate) const DEPARTURES: [Departure; 3] = [Departure::Close, Departure::Reset, Departure::HalfClose];
/// Added to the id of a request to get the id of the request pipelined behind it.
pub(crate) const PIPELINED_ID_OFFSET: u64 = 0x1000;
/// Maximum time for which a replica waits until all expected requests have arrived.
const MAX_ARRIVAL_WAIT: Duration = Duration::from_millis(250);

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Departure {
    Close,
    Reset,
    /// Only the sending side is shut down. This cannot be distinguished from a close until something is
    /// written.
    HalfClose,
}

/// Departed clients, with the time of their departure.
#[derive(Default)]
pub(crate) struct Departed {
    pub(crate) at: BTreeMap<u64, Instant>,
    /// Half-closed connections, kept open until the test ends.
    halves: Vec<TcpStream>,
}

impl Departed {
    pub(crate) fn leave(&mut self, id: u64, departure: Departure, stream: TcpStream) {
        match departure {
            Departure::Close => drop(stream),
            Departure::Reset => {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
                drop(stream);
            }
            Departure::HalfClose => {
                // The gateway may already have closed the connection of a flooding client.
                let _ = stream.shutdown(Shutdown::Write);
                self.halves.push(stream);
            }
        }
        self.at.insert(id, Instant::now());
    }

    /// The same departures, under the ids of the pipelined requests.
    pub(crate) fn pipelined(&self) -> Departed {
        Departed {
            at: self.at.iter().map(|(id, at)| (id + PIPELINED_ID_OFFSET, *at)).collect(),
            halves: Vec::new(),
        }
    }
}

/// A request as bytes, with `padding` further bytes in its body.
pub(crate) fn request_bytes(front: &str, class: &str, id: u64, padding: usize) -> Vec<u8> {
    let more = if front == "messages" { format!("X-Request-Id: {id:016x}\r\n") } else { String::new() };
    let (head, body) = request(front, class, 9000, id as usize, &more);
    let longer = body.replace("Which gate?", &format!("Which gate?{}", "x".repeat(padding)));
    let length = |body: &str| format!("Content-Length: {}\r\n", body.len());
    (head.replace(&length(&body), &length(&longer)) + &longer).into_bytes()
}

/// What a replica does with a request. Arguments: stream, number of the request on its connection, id.
pub(crate) type Handler = dyn Fn(&mut TcpStream, usize, u64) -> Option<()> + Send + Sync;

pub(crate) const FULL: &str = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
pub(crate) const ERROR: &str = "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno";

pub(crate) fn complete_response() -> String {
    STREAM_HEAD.to_owned()
        + &encode_chunk(&text_event("platform", "a"))
        + &encode_chunk(&closing_events("platform"))
        + "0\r\n\r\n"
}

pub(crate) fn write(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).ok()
}

/// Waits until a connection ends without sending a response.
pub(crate) fn wait_for_close(stream: &mut TcpStream) -> Option<()> {
    let _ = stream.read(&mut [0]);
    None
}

/// Requests that reached the replicas: each one's id and the arrival of its last byte.
#[derive(Clone, Default)]
pub(crate) struct Arrivals(Arc<Mutex<Vec<(u64, Instant)>>>);

impl Arrivals {
    /// Starts a replica on an existing listener.
    pub(crate) fn serve_on(&self, listener: TcpListener, handler: Arc<Handler>) {
        let arrivals = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (arrivals, handler) = (arrivals.clone(), handler.clone());
                thread::spawn(move || arrivals.serve_connection(stream, &*handler));
            }
        });
    }

    fn serve_connection(&self, stream: TcpStream, handler: &Handler) -> Option<()> {
        let mut reader = BufReader::new(stream);
        for number in 0.. {
            let (head, _) = read_message(&mut reader)?;
            let at = Instant::now();
            let id = u64::from_str_radix(&header(&head, "x-request-id")?, 16).expect("hex digits");
            self.0.lock().expect("not poisoned").push((id, at));
            handler(reader.get_mut(), number, id)?;
        }
        None
    }

    /// Starts a replica and returns its address.
    pub(crate) fn spawn_replica(
        &self,
        handler: impl Fn(&mut TcpStream, usize, u64) -> Option<()> + Send + Sync + 'static,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        self.serve_on(listener, Arc::new(handler));
        addr
    }

    /// Number of requests that have arrived at all replicas.
    pub(crate) fn count(&self) -> usize {
        self.0.lock().expect("not poisoned").len()
    }

    /// Arrivals of a request at all replicas.
    pub(crate) fn times(&self, id: u64) -> Vec<Instant> {
        self.0
            .lock()
            .expect("not poisoned")
            .iter()
            .filter(|(other, _)| *other == id)
            .map(|(_, at)| *at)
            .collect()
    }

    /// Checks for each departed client that its request was sent at most `most` times, and never later than
    /// the bound after its departure.
    pub(crate) fn check(&self, what: &str, departed: &Departed, most: usize) {
        for (id, departure) in &departed.at {
            let all = self.times(*id);
            let late: Vec<_> = all
                .iter()
                .filter(|at| **at > *departure + MAX_SEND_DELAY)
                .map(|at| at.duration_since(*departure))
                .collect();
            assert!(late.is_empty(), "{what}: {id:x} was sent {late:?} after its client left");
            assert!(all.len() <= most, "{what}: {id:x} was sent {} times", all.len());
        }
    }
}

pub(crate) fn entries(addrs: &[SocketAddr]) -> Vec<Value> {
    addrs.iter().enumerate().map(|(n, addr)| replica_entry_at(n, *addr, "ready", 0)).collect()
}

/// A gateway whose list has these replicas.
pub(crate) fn gateway(addrs: &[SocketAddr], mut more: Value) -> Gateway {
    if more.get("promise_ms").is_none() {
        // With a long latency target, the load balancer does not react to missing responses.
        more["promise_ms"] = json!(9000);
    }
    Gateway::start_with_list(entries(addrs), 3, (1024, 1024), more)
}

pub(crate) fn connect_and_send(addr: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = connect(addr);
    stream.write_all(bytes).expect("sent");
    stream
}

/// Clients of both front APIs, one for each kind of departure.
pub(crate) struct Clients {
    pub(crate) connected: Vec<(u64, Departure, TcpStream)>,
    pub(crate) departed: Departed,
}

impl Clients {
    /// `make_bytes` makes the bytes that a client sends from its API and request id.
    pub(crate) fn new(gateway: &Gateway, make_bytes: impl Fn(&str, u64) -> Vec<u8>) -> Clients {
        let mut connected = Vec::new();
        for (f, front) in DIALECTS.into_iter().enumerate() {
            for (w, departure) in DEPARTURES.into_iter().enumerate() {
                let id = (0x100 * (f + 1) + w) as u64;
                connected.push((
                    id,
                    departure,
                    connect_and_send(gateway.front(front), &make_bytes(front, id)),
                ));
            }
        }
        Clients { connected, departed: Departed::default() }
    }

    pub(crate) fn ids(&self) -> Vec<u64> {
        self.connected.iter().map(|(id, ..)| *id).collect()
    }

    pub(crate) fn leave(&mut self) {
        for (id, departure, stream) in self.connected.drain(..) {
            self.departed.leave(id, departure, stream);
        }
    }
}

/// A client that stays connected, to show that a departed client's request would have been sent.
pub(crate) fn staying_client(
    gateway: &Gateway,
    front: &'static str,
    id: u64,
) -> thread::JoinHandle<ClientOutcome> {
    let stream = connect_and_send(gateway.front(front), &request_bytes(front, "plain", id, 0));
    thread::spawn(move || read_outcome(front, stream).0)
}

/// A gateway process that is stopped until this is dropped, as if it got no processor time.
pub(crate) struct Stopped<'a>(&'a Gateway);

impl Stopped<'_> {
    pub(crate) fn new(gateway: &Gateway) -> Stopped<'_> {
        gateway.signal("-STOP");
        Stopped(gateway)
    }
}

impl Drop for Stopped<'_> {
    fn drop(&mut self) {
        self.0.signal("-CONT");
    }
}

/// Selects the replica that becomes unresponsive: the one with the most requests when all expected ones have
/// arrived. These are at least the average per replica, however the load balancer distributes them.
pub(crate) struct Outage {
    /// Number of requests that the replicas wait for.
    expected: usize,
    /// Ids of the requests at each replica.
    arrived: Mutex<BTreeMap<usize, Vec<u64>>>,
    unresponsive: OnceLock<usize>,
}

impl Outage {
    pub(crate) fn new(expected: usize) -> Outage {
        Outage { expected, arrived: Mutex::default(), unresponsive: OnceLock::new() }
    }

    /// Takes a request at a replica, waits for the others and returns whether this replica is unresponsive.
    pub(crate) fn affects(&self, replica: usize, id: u64) -> bool {
        self.arrived.lock().expect("not poisoned").entry(replica).or_default().push(id);
        let deadline = Instant::now() + MAX_ARRIVAL_WAIT;
        while self.unresponsive.get().is_none() && !self.all_arrived() && Instant::now() < deadline {
            thread::sleep(ms(5));
        }
        *self.unresponsive.get_or_init(|| self.busiest()) == replica
    }

    fn all_arrived(&self) -> bool {
        let arrived = self.arrived.lock().expect("not poisoned");
        arrived.values().map(Vec::len).sum::<usize>() >= self.expected
    }

    fn busiest(&self) -> usize {
        let arrived = self.arrived.lock().expect("not poisoned");
        let (replica, _) = arrived.iter().max_by_key(|(_, ids)| ids.len()).expect("a request has arrived");
        *replica
    }

    /// Ids of the requests at the unresponsive replica.
    pub(crate) fn unanswered(&self) -> Vec<u64> {
        let replica = self.unresponsive.get().expect("a replica is unresponsive");
        self.arrived.lock().expect("not poisoned")[replica].clone()
    }
}
