//! A begun stream as bytes, on its way to another process of this gateway; its connections go beside them.

use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::codec::Body;
use crate::front::Usage;
use crate::types::Nanos;

/// The version of the format; a change of the format gets another number, and processes of different versions hand
/// nothing over.
pub const FORMAT_VERSION: u32 = 1;
/// Lengths before a snapshot's parts, four bytes each: of its description and of what waits at four places.
const LENGTHS: usize = 5 * 4;

/// A begun stream without its connections.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StreamSnapshot {
    /// Its request's id, as the module had it.
    pub id: u64,
    /// The same as its client knows it.
    pub name: String,
    /// Its class and its tenant, for the record.
    pub class: usize,
    /// See `class`.
    pub tenant: Option<usize>,
    /// How long its first event took.
    pub first: Nanos,
    /// The client's connection may carry another request after it.
    pub keep_client: bool,
    /// Its real server.
    pub server: String,
    /// Where that is.
    pub addr: Option<SocketAddr>,
    /// Where in the answer's body the next byte belongs.
    pub body: Option<Body>,
    /// The real server's connection may carry another request after it.
    pub keep_server: bool,
    /// Its last event has come.
    pub last: bool,
    /// Tokens that were told of so far.
    pub usage: Option<Usage>,
    /// What waits: for the client; of the client, read and not looked at; of the real server, likewise; and of the
    /// real server's events, what is no whole one yet.
    #[serde(skip)]
    pub waiting: [Vec<u8>; 4],
}

impl StreamSnapshot {
    /// Its bytes.
    ///
    /// # Errors
    ///
    /// If the snapshot can't be serialized, or one of its parts is longer than 4 GiB.
    pub fn bytes(&self) -> io::Result<Vec<u8>> {
        let told = serde_json::to_vec(self)?;
        let parts = [&told, &self.waiting[0], &self.waiting[1], &self.waiting[2], &self.waiting[3]];
        let mut bytes = Vec::new();
        for part in parts {
            let length = u32::try_from(part.len()).map_err(io::Error::other)?;
            bytes.extend_from_slice(&length.to_be_bytes());
        }
        parts.iter().for_each(|part| bytes.extend_from_slice(part));
        Ok(bytes)
    }

    /// Reads one; all of the bytes must be its.
    ///
    /// # Errors
    ///
    /// If the lengths don't add up to those of `bytes`, or the description isn't a snapshot.
    pub fn read(bytes: &[u8]) -> io::Result<StreamSnapshot> {
        let wrong = || io::Error::new(io::ErrorKind::InvalidData, "lengths that don't fit");
        let (lengths, mut rest) = bytes.split_at_checked(LENGTHS).ok_or_else(wrong)?;
        let mut parts = Vec::with_capacity(5);
        for length in lengths.chunks_exact(4) {
            let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
            let (part, after) = rest.split_at_checked(length).ok_or_else(wrong)?;
            parts.push(part);
            rest = after;
        }
        if !rest.is_empty() {
            return Err(wrong());
        }
        let mut snapshot: StreamSnapshot = serde_json::from_slice(parts[0])?;
        for (place, part) in snapshot.waiting.iter_mut().zip(&parts[1..]) {
            *place = part.to_vec();
        }
        Ok(snapshot)
    }
}
