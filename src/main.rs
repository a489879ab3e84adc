//! The gateway's program. So far it only listens and turns every request down; it serves nothing yet.

use std::io::{Read, Write};
use std::net::TcpListener;

fn main() -> std::io::Result<()> {
    let listener = TcpListener::bind(std::env::var("EDGE_LISTEN").unwrap_or("127.0.0.1:8080".into()))?;
    for stream in listener.incoming() {
        let mut stream = stream?;
        let mut head = [0; 4096];
        let _ = stream.read(&mut head);
        let answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        let _ = stream.write_all(answer.as_bytes());
    }
    Ok(())
}
