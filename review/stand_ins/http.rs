//! The part of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The start line and headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut parts = self.start.split(' ');
        (parts.next().unwrap_or_default(), parts.next().unwrap_or_default())
    }
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            if head.start.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        match (head.start.is_empty(), line.is_empty()) {
            (true, true) => {}
            (true, false) => head.start = line.to_owned(),
            (false, true) => return Ok(Some(head)),
            (false, false) => {
                let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
                head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }
}

/// Reads the body of a request, which has a length or none.
pub fn read_request_body(stream: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let length = head.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// How a response ended, as its reader sees it by the rules of HTTP/1.1 (RFC 9112, section 6.3 and 8).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The stated length or the last chunk was read, or there is neither and the connection was closed in order.
    Complete,
    /// The connection was closed in order before the stated length or the last chunk.
    Truncated,
    /// The connection was reset or failed.
    Failed,
}

/// A response as its reader sees it.
#[derive(Clone, Debug)]
pub struct Response {
    pub head: Head,
    pub body: Vec<u8>,
    pub end: End,
    /// The framing that the head states.
    pub framing: &'static str,
}

/// Reads a response. `on_part` is called with the body so far each time a part of it has arrived.
pub fn read_response(
    stream: &mut BufReader<TcpStream>,
    mut on_part: impl FnMut(&[u8]),
) -> io::Result<Option<Response>> {
    let Some(head) = read_head(stream)? else { return Ok(None) };
    let mut body = Vec::new();
    let is_chunked =
        head.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    let length: Option<usize> = head.get("content-length").and_then(|length| length.parse().ok());
    let (framing, read) = if is_chunked {
        ("chunked", read_chunks(stream, &mut body, &mut on_part))
    } else if let Some(length) = length {
        ("length", read_length(stream, length, &mut body, &mut on_part))
    } else {
        ("until close", read_until_close(stream, &mut body, &mut on_part))
    };
    let end = match read {
        Ok(()) => End::Complete,
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => End::Truncated,
        Err(_) => End::Failed,
    };
    Ok(Some(Response { head, body, end, framing }))
}

fn read_length(
    stream: &mut BufReader<TcpStream>,
    length: usize,
    body: &mut Vec<u8>,
    on_part: &mut impl FnMut(&[u8]),
) -> io::Result<()> {
    while body.len() < length {
        let part = stream.fill_buf()?;
        if part.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let count = part.len().min(length - body.len());
        body.extend_from_slice(&part[..count]);
        stream.consume(count);
        on_part(body);
    }
    Ok(())
}

fn read_until_close(
    stream: &mut BufReader<TcpStream>,
    body: &mut Vec<u8>,
    on_part: &mut impl FnMut(&[u8]),
) -> io::Result<()> {
    loop {
        let part = stream.fill_buf()?;
        if part.is_empty() {
            return Ok(());
        }
        let count = part.len();
        body.extend_from_slice(part);
        stream.consume(count);
        on_part(body);
    }
}

fn read_chunks(
    stream: &mut BufReader<TcpStream>,
    body: &mut Vec<u8>,
    on_part: &mut impl FnMut(&[u8]),
) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim_end().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
        on_part(body);
    }
}

/// Connects within two seconds. Reads and writes time out after 30 s.
pub fn connect(address: SocketAddr) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    stream.set_write_timeout(Some(Duration::from_secs(30)))?;
    Ok(BufReader::new(stream))
}

/// Sends one request on a new connection and reads the response.
pub fn call(address: SocketAddr, request: &[u8]) -> io::Result<Response> {
    let mut stream = connect(address)?;
    stream.get_mut().write_all(request)?;
    read_response(&mut stream, |_| {})?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
