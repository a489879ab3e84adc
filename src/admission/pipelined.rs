//! Pipelined input, bytes that come on an edge connection behind a request that is open: how much of it is kept, and
//! what may be said of its client. No I/O and no clock.
//!
//! A client's close comes behind all that it sent, and shows only once that is read. So it is read to its end, however
//! much it is: up to a bound it is kept, for the requests that it may hold; what lies beyond is dropped, and the
//! connection ends once what was kept has its response.

/// The bounds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes that are kept in any case.
    pub least: usize,
    /// Bytes that are kept while memory allows it: a whole request.
    pub most: usize,
    /// Bytes that are dropped before it counts as a flood.
    pub flood: usize,
}

/// What is done with bytes that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// They are kept.
    Keep,
    /// They are dropped, and so is all that follows.
    Drop,
    /// More came than a client that has left can have left behind: this one is heard no more.
    Flood,
}

/// Where one connection stands.
#[derive(Debug)]
pub struct PipelinedInput {
    bounds: Bounds,
    /// Bytes dropped, once some were.
    dropped: Option<usize>,
}

impl PipelinedInput {
    /// Of a connection of which nothing, or something already, was dropped.
    #[must_use]
    pub fn new(bounds: Bounds, cut: bool) -> PipelinedInput {
        PipelinedInput { bounds, dropped: cut.then_some(0) }
    }

    /// So many bytes came behind those that are kept; `has_memory` is whether memory allows for them.
    pub fn received(&mut self, kept: usize, bytes: usize, has_memory: bool) -> Disposition {
        let most = if has_memory { self.bounds.most } else { self.bounds.least };
        // Guards against a gap: nothing is kept behind what was dropped.
        if self.dropped.is_none() && kept + bytes <= most {
            return Disposition::Keep;
        }
        self.dropped = Some(self.dropped.unwrap_or_default() + bytes);
        if self.is_flood() { Disposition::Flood } else { Disposition::Drop }
    }

    /// It was a flood.
    #[must_use]
    pub fn is_flood(&self) -> bool {
        self.dropped.is_some_and(|dropped| dropped > self.bounds.flood)
    }

    /// Something was dropped.
    #[must_use]
    pub fn is_truncated(&self) -> bool {
        self.dropped.is_some()
    }
}
