//! Pipelined input: data that a client sends behind its open request. Decides how much of it is kept, and when the
//! client counts as flooding. No I/O and no clock.
//!
//! A client's close is seen only after all data before it was read, so the connection is read however much the client
//! sends. Up to a limit, data is kept for the requests that it may contain; the rest is dropped, and the
//! connection is closed once the kept requests have their responses.

/// Limits of pipelined input.
#[derive(Clone, Copy, Debug)]
pub struct PipelinedLimits {
    /// Bytes that are always kept.
    pub guaranteed_bytes: usize,
    /// Bytes that are kept if memory allows it: a complete request.
    pub max_bytes: usize,
    /// Dropped bytes above which the input counts as a flood.
    pub max_dropped_bytes: usize,
}

/// What to do with received bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Keep them.
    Keep,
    /// Drop them, and all that follow.
    Drop,
    /// Stop reading: the client has sent more than one that has closed can have in flight.
    Flood,
}

/// The pipelined input of one connection.
#[derive(Debug)]
pub struct PipelinedInput {
    limits: PipelinedLimits,
    /// Bytes dropped, once some were.
    dropped: Option<usize>,
}

impl PipelinedInput {
    /// Starts with nothing kept; `is_truncated` says whether data of this connection was dropped before.
    #[must_use]
    pub fn new(limits: PipelinedLimits, is_truncated: bool) -> PipelinedInput {
        PipelinedInput { limits, dropped: is_truncated.then_some(0) }
    }

    /// Records `bytes` that were received while `kept` bytes are kept; `has_memory` says whether memory allows more.
    pub fn received(&mut self, kept: usize, bytes: usize, has_memory: bool) -> Disposition {
        let max_bytes = if has_memory { self.limits.max_bytes } else { self.limits.guaranteed_bytes };
        // After a drop nothing more is kept, since the kept data would have a gap.
        if self.dropped.is_none() && kept + bytes <= max_bytes {
            return Disposition::Keep;
        }
        self.dropped = Some(self.dropped.unwrap_or_default() + bytes);
        if self.is_flood() { Disposition::Flood } else { Disposition::Drop }
    }

    /// Whether the client has flooded the connection.
    #[must_use]
    pub fn is_flood(&self) -> bool {
        self.dropped.is_some_and(|dropped| dropped > self.limits.max_dropped_bytes)
    }

    /// Whether data was dropped.
    #[must_use]
    pub fn is_truncated(&self) -> bool {
        self.dropped.is_some()
    }
}
