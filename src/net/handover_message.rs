//! The message that hands a begun stream over to another process of this gateway; its connections are sent beside it.

use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::codec::Body;
use crate::front::Usage;
use crate::types::Nanos;

/// The version of the format; processes with different versions hand nothing over.
pub const FORMAT_VERSION: u32 = 1;
/// Bytes of the lengths before a snapshot's parts, four bytes each: its description and four buffers.
const LENGTHS: usize = 5 * 4;

/// The buffered bytes of a begun stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamBuffers {
    /// Encoded, to be written to the client.
    pub to_client: Vec<u8>,
    /// Received from the client and not parsed.
    pub from_client: Vec<u8>,
    /// Received from the replica and not decoded.
    pub from_replica: Vec<u8>,
    /// Decoded from the replica's body, but not a complete event yet.
    pub partial_event: Vec<u8>,
}

/// A begun stream without its connections.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StreamSnapshot {
    /// The request's id, as the load balancer knew it.
    pub id: u64,
    /// The request's id as its client knows it.
    pub name: String,
    /// The request's class, for the record.
    pub class: usize,
    /// The request's tenant, for the record.
    pub tenant: Option<usize>,
    /// Time to its first event.
    pub first: Nanos,
    /// The client's connection can be reused afterwards.
    pub keep_client: bool,
    /// Its replica.
    #[serde(rename = "server")]
    pub replica: String,
    /// The replica's address.
    pub addr: Option<SocketAddr>,
    /// The state of the response body's framing.
    pub body: Option<Body>,
    /// The replica's connection can be reused afterwards.
    #[serde(rename = "keep_server")]
    pub keep_replica: bool,
    /// Its last event has arrived.
    pub last: bool,
    /// The token usage stated so far.
    pub usage: Option<Usage>,
    /// The bytes that it has buffered.
    #[serde(skip)]
    pub buffers: StreamBuffers,
}

impl StreamSnapshot {
    /// Encodes the snapshot.
    ///
    /// # Errors
    ///
    /// If the snapshot can't be serialized, or one of its parts is longer than 4 GiB.
    pub fn bytes(&self) -> io::Result<Vec<u8>> {
        let encoded = serde_json::to_vec(self)?;
        let StreamBuffers { to_client, from_client, from_replica, partial_event } = &self.buffers;
        let parts = [&encoded, to_client, from_client, from_replica, partial_event];
        let mut bytes = Vec::new();
        for part in parts {
            let length = u32::try_from(part.len()).map_err(io::Error::other)?;
            bytes.extend_from_slice(&length.to_be_bytes());
        }
        parts.iter().for_each(|part| bytes.extend_from_slice(part));
        Ok(bytes)
    }

    /// Decodes a snapshot, which must take up all bytes.
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
        let StreamBuffers { to_client, from_client, from_replica, partial_event } = &mut snapshot.buffers;
        let buffers = [to_client, from_client, from_replica, partial_event];
        for (buffer, part) in buffers.into_iter().zip(&parts[1..]) {
            *buffer = part.to_vec();
        }
        Ok(snapshot)
    }
}
