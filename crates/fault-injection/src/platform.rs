//! A stand-in for the platform's list service, which lists the replicas.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};

use serde_json::{Value, json};
use snafu::ResultExt;

use crate::client::{Connection, serve_connections};
use crate::error::{IoSnafu, Result};
use crate::operator::SERVICE;

/// A list service. Its threads run until the process ends; clones share the list.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    replicas: Arc<Mutex<Vec<Value>>>,
}

impl Platform {
    /// Starts a service with an empty list.
    ///
    /// # Errors
    ///
    /// [`HarnessError::Io`](crate::error::HarnessError::Io) if the address can't be bound.
    pub fn start(address: SocketAddr) -> Result<Platform> {
        let platform = Platform::default();
        let listener = TcpListener::bind(address)
            .with_context(|_| IoSnafu { action: format!("listen at {address}") })?;
        let service = platform.clone();
        serve_connections(listener, move |connection| service.serve(connection));
        Ok(platform)
    }

    /// Adds a replica without models to the list.
    pub fn add(&self, id: &str, address: SocketAddr, zone: &str) {
        self.add_with_models(id, address, zone, &[]);
    }

    /// Adds a replica with weights revision 1 of each of `models` to the list.
    pub fn add_with_models(&self, id: &str, address: SocketAddr, zone: &str, models: &[&str]) {
        let models: Vec<Value> =
            models.iter().map(|model| json!({"label": model, "revision": 1, "addons": []})).collect();
        let replica = json!({
            "ident": id, "backend": SERVICE, "address": address.to_string(), "area": zone,
            "capacity": 64, "phase": "ready", "warmLeftMs": 0, "llms": models,
        });
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner).push(replica);
    }

    /// Sends the complete list in response to each request.
    fn serve(&self, mut connection: Connection) {
        while connection.read_request().is_ok() {
            let replicas = self.replicas.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let body = json!({"servers": replicas, "nextToken": null}).to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if connection.write((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}
