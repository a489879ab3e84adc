//! Clients: each sends requests on a connection of its own, and tells what it saw.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use crate::deployment::{HOST, KEY};
use crate::http::{self, End, Response};
use crate::record::Record;
use crate::replica;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub attempt_id: String,
    pub path: String,
    pub time_left_ms: String,
    /// The length of the request's body.
    pub body_bytes: usize,
    /// Counts the bytes of the body that have arrived.
    pub received: Arc<AtomicUsize>,
}

impl Request {
    pub fn new(attempt_id: &str, path: &str, time_left_ms: &str) -> Request {
        Request {
            attempt_id: attempt_id.to_owned(),
            path: path.to_owned(),
            time_left_ms: time_left_ms.to_owned(),
            body_bytes: 16,
            received: Arc::default(),
        }
    }

    pub fn with_body(self, body_bytes: usize) -> Request {
        Request { body_bytes, ..self }
    }
}

/// What a client saw of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered(Response),
    /// The connection ended before the first byte of an answer.
    NoAnswer(String),
}

impl Outcome {
    /// Whether this is a success with the replica's seal that a client takes for whole.
    pub fn looks_complete(&self) -> bool {
        matches!(self, Outcome::Answered(response)
            if (200..300).contains(&response.head.status())
                && response.head.get("server-seal").is_some()
                && response.end == End::Complete)
    }

    /// Whether it is a whole success.
    pub fn is_whole(&self, attempt_id: &str) -> bool {
        let Outcome::Answered(response) = self else { return false };
        self.looks_complete() && response.body == replica::whole_body(attempt_id)
    }

    /// The last bytes of the body.
    pub fn tail(&self, count: usize) -> String {
        let Outcome::Answered(response) = self else { return String::new() };
        let start = response.body.len().saturating_sub(count);
        String::from_utf8_lossy(&response.body[start..]).into_owned()
    }

    pub fn describe(&self, attempt_id: &str) -> String {
        match self {
            Outcome::Answered(response) => format!(
                "status {}, {} of {} bytes of the replica's body, framing: {}, end: {:?}",
                response.head.status(),
                response.body.len(),
                replica::whole_body(attempt_id).len(),
                response.framing,
                response.end
            ),
            Outcome::NoAnswer(error) => format!("the connection ended without an answer: {error}"),
        }
    }
}

/// A client's connection.
pub struct Client {
    name: String,
    stream: BufReader<TcpStream>,
    record: Arc<Record>,
}

impl Client {
    pub fn connect(name: &str, address: SocketAddr, record: &Arc<Record>) -> io::Result<Client> {
        Ok(Client { name: name.to_owned(), stream: http::connect(address)?, record: record.clone() })
    }

    /// Sends a request and waits for its answer.
    pub fn send(&mut self, request: &Request) -> Outcome {
        let Request { attempt_id, path, time_left_ms, body_bytes, .. } = request;
        self.record.line(&format!(
            "{}: sends {attempt_id} {path} with a body of {body_bytes} bytes (Time-Left-Ms {time_left_ms})",
            self.name
        ));
        let outcome = self.exchange(request).unwrap_or_else(|error| Outcome::NoAnswer(error.to_string()));
        self.record.line(&format!("{}: {attempt_id}: {}", self.name, outcome.describe(attempt_id)));
        outcome
    }

    fn exchange(&mut self, request: &Request) -> io::Result<Outcome> {
        let body = "0123456789abcdef".repeat(request.body_bytes.div_ceil(16));
        let body = &body[..request.body_bytes];
        let text = format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {}\r\nTime-Left-Ms: {}\r\n\
             Authorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
            request.path,
            request.attempt_id,
            request.time_left_ms,
            body.len()
        );
        self.stream.get_mut().write_all(text.as_bytes())?;
        let received = request.received.clone();
        let response =
            http::read_response(&mut self.stream, |body| received.store(body.len(), Ordering::SeqCst))?;
        Ok(match response {
            Some(response) => Outcome::Answered(response),
            None => Outcome::NoAnswer("closed in order".to_owned()),
        })
    }
}
