//! The kinds of requests, by whether they may run more than once.

use tulipridge_configuration::{Route, RouteKind};

/// Whether a request is idempotent, and whether its response is a resumable stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestKind {
    /// Idempotent: the request may run any number of times.
    Safe,
    /// Not idempotent: the request may run at most once.
    Unsafe,
    /// An event stream of a request that may run at most once.
    Stream,
    /// An event stream that another replica may restart, or resume after the last event.
    ResumableStream,
}

impl RequestKind {
    /// All kinds, in the order of the columns in `docs/design/calls.md`.
    pub const ALL: [RequestKind; 4] =
        [RequestKind::Safe, RequestKind::Unsafe, RequestKind::Stream, RequestKind::ResumableStream];

    /// The kind of a route's requests.
    #[must_use]
    pub fn of(route: &Route) -> RequestKind {
        match route.kind {
            RouteKind::Idempotent => RequestKind::Safe,
            RouteKind::NonIdempotent => RequestKind::Unsafe,
            RouteKind::Stream if route.resumable => RequestKind::ResumableStream,
            RouteKind::Stream => RequestKind::Stream,
        }
    }

    /// Whether such a request may run more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, RequestKind::Safe | RequestKind::ResumableStream)
    }
}
