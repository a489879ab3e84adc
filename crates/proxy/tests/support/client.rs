//! A client's connection.

use std::net::TcpStream;

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use super::reading::{read_message, read_some};

/// A client's connection.
pub(crate) struct TestClient {
    pub stream: Async<TcpStream>,
    pub(super) buffer: Vec<u8>,
}

impl TestClient {
    pub(crate) async fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).await.expect("a request is taken");
    }

    /// The next response; `(cut)` after it where it is truncated, `(closed)` where there is none.
    pub(crate) async fn answer(&mut self) -> String {
        match read_message(&mut self.stream, &mut self.buffer).await {
            Some(answer) => answer,
            None if self.buffer.is_empty() => "(closed)".to_owned(),
            None => format!("{}(cut)", String::from_utf8_lossy(&std::mem::take(&mut self.buffer))),
        }
    }

    /// Bytes that were read and are no part of a response that was taken.
    pub(crate) fn received(&self) -> String {
        String::from_utf8_lossy(&self.buffer).into_owned()
    }

    /// Reads until the bytes of the response contain this.
    pub(crate) async fn wait_for(&mut self, text: &str) {
        while !String::from_utf8_lossy(&self.buffer).contains(text) {
            assert!(
                read_some(&mut self.stream, &mut self.buffer).await > 0,
                "the connection ended before {text}"
            );
        }
    }
}
