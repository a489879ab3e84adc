//! Reads the head of a replica's response.

use std::io;

use super::{BufferedStream, within};
use crate::limits::Limits;
use crate::net::codec::{self, Head};

/// Reads the head of the final response and skips interim ones.
pub(super) async fn read_head(wire: &mut BufferedStream, limits: &Limits) -> io::Result<Head> {
    let mut interim_count = 0;
    loop {
        match codec::response_head(&mut wire.buf, &limits.wire) {
            Ok(Some(head)) if (100..200).contains(&head.status()) => {
                interim_count += 1;
                if interim_count > limits.replicas.interim_heads {
                    return Err(io::Error::other("too many interim responses"));
                }
                continue;
            }
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(error) => return Err(io::Error::other(error.message())),
        }
        // While a head is incomplete, each read must receive data within `partial_head_timeout`, which is shorter than
        // the deadline.
        let is_partial = !wire.buf.is_empty();
        let fill = wire.fill(&limits.wire);
        if (if is_partial {
            within(limits.replicas.partial_head_timeout, fill).await?
        } else {
            fill.await
        })? == 0
        {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
