//! A client of the proxy under test.

use std::net::TcpStream;

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::reading::{read_message, read_some};

/// A client connection and the bytes that it has received.
pub(crate) struct TestClient {
    pub stream: Async<TcpStream>,
    pub(super) buffer: Vec<u8>,
}

impl TestClient {
    pub(crate) async fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).await.expect("the request is written");
    }

    /// Reads the next response. The text ends in `(truncated)` if the connection ends within it, and is `(closed)` if
    /// the connection ends before it.
    pub(crate) async fn read_response(&mut self) -> String {
        match read_message(&mut self.stream, &mut self.buffer).await {
            Some(response) => response,
            None if self.buffer.is_empty() => "(closed)".to_owned(),
            None => format!("{}(truncated)", String::from_utf8_lossy(&std::mem::take(&mut self.buffer))),
        }
    }

    /// Bytes that were read but not returned as a response.
    pub(crate) fn received(&self) -> String {
        String::from_utf8_lossy(&self.buffer).into_owned()
    }

    /// Reads until the received bytes contain `text`.
    pub(crate) async fn wait_for(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.buffer).contains(text) {
            assert!(
                read_some(&mut self.stream, &mut self.buffer).await > 0,
                "the connection ended before {text}"
            );
        }
    }
}
