//! Reads HTTP messages from connections.

use std::net::{TcpListener, TcpStream};

use async_io::Async;
use futures_lite::AsyncReadExt;
use tulipridge_http1::codec::Head;

use super::http::header;

pub(super) fn listener() -> Async<TcpListener> {
    Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a free port")
}

pub(super) async fn read_some(stream: &mut Async<TcpStream>, buffer: &mut Vec<u8>) -> usize {
    let mut piece = [0; 4096];
    let count = stream.read(&mut piece).await.unwrap_or(0);
    buffer.extend_from_slice(&piece[..count]);
    count
}

/// Reads a message head; bytes after it stay in the buffer.
pub(super) async fn read_head(stream: &mut Async<TcpStream>, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = String::from_utf8_lossy(buffer).find("\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return Some(String::from_utf8_lossy(&head).into_owned());
        }
        if read_some(stream, buffer).await == 0 {
            return None;
        }
    }
}

/// Reads one message with its encoded body; `None` if the connection ends before the message does.
pub(super) async fn read_message(stream: &mut Async<TcpStream>, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = message_end(buffer) {
            let message = buffer.drain(..end).collect::<Vec<u8>>();
            return Some(String::from_utf8_lossy(&message).into_owned());
        }
        if read_some(stream, buffer).await == 0 {
            return None;
        }
    }
}

fn message_end(buffer: &[u8]) -> Option<usize> {
    let text = String::from_utf8_lossy(buffer);
    let head_end = text.find("\r\n\r\n")? + 4;
    let head = &text[..head_end];
    if header(head, "Transfer-Encoding").is_some() {
        return text[head_end..].find("0\r\n\r\n").map(|at| head_end + at + 5);
    }
    let length = header(head, "Content-Length").map_or(0, |value| value.parse().expect("a length"));
    (buffer.len() >= head_end + length).then_some(head_end + length)
}
