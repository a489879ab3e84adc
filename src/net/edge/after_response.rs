//! What happens to a connection after a response.

use super::BufferedStream;

/// What happens to a connection after a response.
pub(super) enum AfterResponse {
    /// It may carry another request.
    KeepAlive(BufferedStream),
    /// The last response was written and may still be in flight.
    Close(BufferedStream),
}
