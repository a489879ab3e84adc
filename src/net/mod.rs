//! The network, a module for each peer.

pub mod discovery;
pub mod edge;
pub mod followers;
pub mod handover;
pub mod handover_message;
pub mod lifecycle_monitor;
pub mod listen;
pub mod mgmt;
pub mod object_splitter;
pub mod peers;
pub mod slot_pool;
pub mod upstream;

pub use tulipridge_http1::{BufferedStream, codec, limit_socket_buffers, within};
