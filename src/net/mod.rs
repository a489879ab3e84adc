//! Network I/O: clients, replicas, discovery, the management address, store peers and other processes of the gateway.

pub mod discovery;
pub mod edge;
pub mod handover;
pub mod handover_message;
pub mod lifecycle_monitor;
pub mod listen;
pub mod management;
pub mod object_splitter;
pub mod peers;
pub mod slot_pool;
pub mod successors;
pub mod upstream;

pub use tulipridge_http1::{BufferedStream, codec, limit_socket_buffers, within};
