//! What happens to a connection after a response.

use super::BufferedStream;

/// What happens to a connection after a response.
pub(super) enum AfterResponse {
    /// It may carry another request.
    KeepAlive(BufferedStream),
    /// It has had its last response, which may still be in flight.
    Close(BufferedStream),
}
