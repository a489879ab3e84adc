//! The downstream side: client connections, reading of requests, and writing of responses.
//!
//! [`listener`] accepts connections, [`connection`] serves a connection, [`request`] reads a request, [`client`] writes
//! complete responses, and [`relay`] forwards a replica's response as it arrives, with [`event_tracker`] for resumable
//! streams.

pub mod client;
pub mod connection;
pub mod event_tracker;
pub mod listener;
pub mod relay;
pub mod request;
