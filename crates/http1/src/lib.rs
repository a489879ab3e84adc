//! HTTP/1.1 and server-sent events over non-blocking connections, with resource limits.
//!
//! [`BufferedStream`] is a connection with a read buffer, [`codec`] contains the parsers, and [`Http1Limits`] the
//! limits that both enforce.

mod buffered_stream;
pub mod codec;
mod limits;
mod request_error;

pub use buffered_stream::{BufferedStream, limit_socket_buffers, within};
pub use limits::Http1Limits;
pub use request_error::RequestError;
