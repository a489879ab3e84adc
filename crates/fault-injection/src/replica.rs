//! A stand-in replica, which echoes requests or fails as configured.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use snafu::ResultExt;
use socket2::SockRef;

use crate::client::{Connection, Message, serve_connections};
use crate::error::{IoSnafu, Result};

/// Path prefixes of the control plane's requests, to which the response is 404.
const CONTROL_PATHS: [&str; 4] = ["/report", "/order", "/kv-events", "/kv-list"];

/// How a replica handles clients' requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaBehaviour {
    /// Responds at once.
    #[default]
    Respond,
    /// Reads requests and never responds.
    NoResponse,
    /// Resets the connection after the complete request.
    Reset,
    /// Resets the connection after half of the response's head.
    ResetDuringHead,
}

/// A client's request that a replica has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The value of the header `Attempt-Id`; empty if it is missing.
    pub attempt_id: String,
    /// The path and query.
    pub path: String,
}

#[derive(Debug, Default)]
struct ReplicaState {
    behaviour: ReplicaBehaviour,
    received: Vec<ReceivedRequest>,
}

/// A stand-in replica. Its threads run until the process ends; clones share the state.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The replica's id in the platform's list.
    pub id: String,
    /// The address at which the replica listens.
    pub address: SocketAddr,
    state: Arc<Mutex<ReplicaState>>,
}

impl Replica {
    /// Starts a replica at any free port of `ip`.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Io`](crate::error::HarnessError::Io) if no port can be bound.
    pub fn start(id: String, ip: Ipv4Addr) -> Result<Replica> {
        let listener =
            TcpListener::bind((ip, 0)).with_context(|_| IoSnafu { action: format!("listen at {ip}") })?;
        let address = listener.local_addr().context(IoSnafu { action: "read an address" })?;
        let replica = Replica { id, address, state: Arc::default() };
        let served = replica.clone();
        serve_connections(listener, move |connection| served.serve(connection));
        Ok(replica)
    }

    /// Sets the handling of all later requests.
    pub fn set_behaviour(&self, behaviour: ReplicaBehaviour) {
        self.state().behaviour = behaviour;
    }

    /// The clients' requests that were received so far, in order of arrival.
    #[must_use]
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.state().received.clone()
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_request() {
            let path = request.head.start[1].clone();
            if CONTROL_PATHS.iter().any(|control| path.starts_with(control)) {
                if connection.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            let attempt_id = request.head.get("attempt-id").unwrap_or_default().to_owned();
            let behaviour = self.record(ReceivedRequest { attempt_id: attempt_id.clone(), path });
            if !respond(&mut connection, &request, &attempt_id, behaviour) {
                return;
            }
        }
    }

    /// Records a request and returns the current behaviour.
    fn record(&self, request: ReceivedRequest) -> ReplicaBehaviour {
        let mut state = self.state();
        state.received.push(request);
        state.behaviour
    }

    fn state(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handles a request; returns false if the connection has to be closed.
fn respond(
    connection: &mut Connection,
    request: &Message,
    attempt_id: &str,
    behaviour: ReplicaBehaviour,
) -> bool {
    let body = echo(request, attempt_id);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nServer-Seal: s.1\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    match behaviour {
        ReplicaBehaviour::Respond => connection.write((head + &body).as_bytes()).is_ok(),
        ReplicaBehaviour::NoResponse => true,
        ReplicaBehaviour::Reset => reset(connection),
        ReplicaBehaviour::ResetDuringHead => {
            let _ = connection.write(&head.as_bytes()[..head.len() / 2]);
            reset(connection)
        }
    }
}

/// Sets the linger time to zero, so that closing the socket resets the connection. Returns false: the connection has to
/// be closed.
fn reset(connection: &Connection) -> bool {
    let _ = SockRef::from(connection.stream()).set_linger(Some(Duration::ZERO));
    false
}

/// A response body that identifies the request, so that a test detects a response to another request.
fn echo(request: &Message, attempt_id: &str) -> String {
    format!("{} {attempt_id} {}", request.head.start[1], request.text())
}
