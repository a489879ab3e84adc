//! The downstream side: clients' connections, their requests, and the way of a response back to its client.
//!
//! [`listener`] accepts connections, [`connection`] serves one, [`request`] reads a request, [`client`] writes
//! complete responses, and [`relay`] forwards a replica's response as it arrives, with [`event_tracker`] for streams
//! that may be resumed.

pub mod client;
pub mod connection;
pub mod event_tracker;
pub mod listener;
pub mod relay;
pub mod request;
