//! A stand-in for a replica: echoes requests, or fails as configured.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use snafu::ResultExt;
use socket2::SockRef;

use crate::client::{Connection, Message, serve_connections};
use crate::error::{IoSnafu, Result};

/// Paths of the control plane's requests.
const CONTROL_PATHS: [&str; 4] = ["/report", "/order", "/kv-events", "/kv-list"];

/// How a replica handles clients' requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaBehaviour {
    /// It responds at once.
    #[default]
    Respond,
    /// It reads them and never responds.
    NoResponse,
    /// It resets the connection after the complete request.
    Reset,
    /// It resets the connection after half of the response's head.
    ResetDuringHead,
}

/// A client's request that a replica has received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The value of `Attempt-Id`.
    pub attempt_id: String,
    /// The path.
    pub path: String,
}

#[derive(Debug, Default)]
struct ReplicaState {
    behaviour: ReplicaBehaviour,
    received: Vec<ReceivedRequest>,
}

/// A replica. Its threads run until the process ends.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Its id in the platform's list.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    state: Arc<Mutex<ReplicaState>>,
}

impl Replica {
    /// Starts to serve at any port of `ip`.
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

    /// Sets how requests are handled from now on.
    pub fn set_behaviour(&self, behaviour: ReplicaBehaviour) {
        self.state().behaviour = behaviour;
    }

    /// The clients' requests that were received so far.
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

    /// Records a request and returns how to handle it.
    fn record(&self, request: ReceivedRequest) -> ReplicaBehaviour {
        let mut state = self.state();
        state.received.push(request);
        state.behaviour
    }

    fn state(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handles a request; false if the connection has to be closed.
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

/// Makes closing the socket reset the connection; returns that it has to be closed.
fn reset(connection: &Connection) -> bool {
    let _ = SockRef::from(connection.stream()).set_linger(Some(Duration::ZERO));
    false
}

/// A body that identifies the request, so that a client can tell its response from those to others.
fn echo(request: &Message, attempt_id: &str) -> String {
    format!("{} {attempt_id} {}", request.head.start[1], request.text())
}
