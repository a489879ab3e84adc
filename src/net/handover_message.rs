//! The message that hands a stream over to another process of this gateway; the stream's connections are sent with it.

use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::codec::Body;
use crate::front::Usage;
use crate::types::Nanos;

/// The version of the format; processes with different versions don't hand streams over.
pub const FORMAT_VERSION: u32 = 1;
/// Bytes of the length fields, four bytes for each part of a snapshot: its description and four buffers.
const LENGTHS_BYTES: usize = 5 * 4;

/// The buffered bytes of a stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamBuffers {
    /// Encoded bytes that were not written to the client yet.
    pub to_client: Vec<u8>,
    /// Bytes received from the client and not parsed yet.
    pub from_client: Vec<u8>,
    /// Bytes received from the replica and not decoded yet.
    pub from_replica: Vec<u8>,
    /// Bytes decoded from the replica's body that are no complete event yet.
    pub partial_event: Vec<u8>,
}

/// The state of a stream without its connections.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StreamSnapshot {
    /// The request's id in the load balancer.
    pub id: u64,
    /// The request's id as the client was told it.
    pub name: String,
    /// The request's class, for the record of its end.
    pub class: usize,
    /// The request's tenant, for the record of its end.
    pub tenant: Option<usize>,
    /// The time to the first event.
    pub first: Nanos,
    /// The client's connection may carry another request afterwards.
    pub keep_client: bool,
    /// The id of the replica.
    #[serde(rename = "server")]
    pub replica: String,
    /// The replica's address.
    pub addr: Option<SocketAddr>,
    /// The state of the response body's framing.
    pub body: Option<Body>,
    /// The replica's connection may carry another request afterwards.
    #[serde(rename = "keep_server")]
    pub keep_replica: bool,
    /// The last event of the stream has arrived.
    pub last: bool,
    /// The token usage stated so far.
    pub usage: Option<Usage>,
    /// The buffered bytes.
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
        let mismatch = || {
            io::Error::new(
                io::ErrorKind::InvalidData,
                "the length fields don't match the length of the message",
            )
        };
        let (lengths, mut rest) = bytes.split_at_checked(LENGTHS_BYTES).ok_or_else(mismatch)?;
        let mut parts = Vec::with_capacity(5);
        for length in lengths.chunks_exact(4) {
            let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
            let (part, after) = rest.split_at_checked(length).ok_or_else(mismatch)?;
            parts.push(part);
            rest = after;
        }
        if !rest.is_empty() {
            return Err(mismatch());
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
