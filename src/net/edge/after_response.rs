//! Whether a connection is kept or closed after a response.

use super::BufferedStream;

/// A connection after its response, to be kept or closed.
pub(super) enum AfterResponse {
    /// The connection may carry another request.
    KeepAlive(BufferedStream),
    /// The last response was written and may still be in flight.
    Close(BufferedStream),
}
