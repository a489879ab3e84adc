//! The downstream side: client connections, reading of requests, and writing of responses.
//!
//! [`listener`] accepts connections, [`connection`] serves a connection, [`request`] reads a request, [`client`] writes
//! complete responses, and [`relay`] forwards a replica's response as it arrives. [`event_tracker`] and
//! [`event_scanner`] follow the events of a stream, to notice that it broke off and to resume it.

pub mod client;
pub mod connection;
pub mod event_scanner;
pub mod event_tracker;
pub mod listener;
pub mod relay;
pub mod request;
