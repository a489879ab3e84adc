//! A replica that answers with what it was asked, or fails as it is told.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use snafu::ResultExt;
use socket2::SockRef;

use crate::client::{Connection, Message};
use crate::error::{Result, SystemSnafu};

/// Paths of the control plane's calls.
const CONTROL_PATHS: [&str; 4] = ["/report", "/order", "/kv-events", "/kv-list"];

/// What becomes of clients' requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// They are answered at once.
    #[default]
    Answer,
    /// They are taken and never answered.
    Silence,
    /// The connection is reset once the request has come whole.
    Reset,
    /// The connection is reset amid the answer's head.
    ResetAmidHead,
}

/// A client's request as the replica saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The client's name for the try.
    pub attempt_id: String,
    /// The path.
    pub path: String,
}

#[derive(Debug, Default)]
struct State {
    behaviour: Behaviour,
    seen: Vec<Seen>,
}

/// A replica. It runs as long as the process.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Its id in the platform's list.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Replica {
    /// Starts to serve.
    pub fn start(id: String, ip: Ipv4Addr) -> Result<Replica> {
        let listener = TcpListener::bind((ip, 0))
            .with_context(|_| SystemSnafu { action: format!("listen at {ip}") })?;
        let address = listener.local_addr().context(SystemSnafu { action: "read an address" })?;
        let replica = Replica { id, address, state: Arc::default() };
        let served = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(Connection::new(stream)));
            }
        });
        Ok(replica)
    }

    /// Has requests met like this from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        self.state().behaviour = behaviour;
    }

    /// Clients' requests that came so far.
    #[must_use]
    pub fn seen(&self) -> Vec<Seen> {
        self.state().seen.clone()
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
            let behaviour = self.note(Seen { attempt_id: attempt_id.clone(), path });
            if !respond(&mut connection, &request, &attempt_id, behaviour) {
                return;
            }
        }
    }

    fn note(&self, seen: Seen) -> Behaviour {
        let mut state = self.state();
        state.seen.push(seen);
        state.behaviour
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Meets a request; whether the connection goes on.
fn respond(connection: &mut Connection, request: &Message, attempt_id: &str, behaviour: Behaviour) -> bool {
    let body = echo(request, attempt_id);
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt_id}\r\nServer-Seal: s.1\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    match behaviour {
        Behaviour::Answer => connection.write((head + &body).as_bytes()).is_ok(),
        Behaviour::Silence => true,
        Behaviour::Reset => reset(connection),
        Behaviour::ResetAmidHead => {
            let _ = connection.write(&head.as_bytes()[..head.len() / 2]);
            reset(connection)
        }
    }
}

fn reset(connection: &Connection) -> bool {
    let _ = SockRef::from(connection.stream()).set_linger(Some(Duration::ZERO));
    false
}

/// What identifies a request, so that the caller can tell its answer from those of others.
fn echo(request: &Message, attempt_id: &str) -> String {
    format!("{} {attempt_id} {}", request.head.start[1], request.text())
}
