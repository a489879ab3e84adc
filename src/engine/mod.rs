//! Requests, attempts and outcomes, independent of any wire protocol.
//!
//! [`Engine`] owns the load balancer, its clock and its timers. It passes events to the load balancer and each action
//! to its request. [`serve`] runs a request from its admission to its one final response: until the first event, it
//! carries out the load balancer's actions; from then on it forwards the response as a stream.

mod core;
mod forwarding;
mod interface;
mod participants;
mod request_lifecycle;
mod stream_table;
mod streams;

pub use self::core::{AdmittedRequest, Engine};
pub use crate::stream::Arrival;
pub use interface::{
    AttemptOutcome, FailureReason, FleetAction, PlacementRequest, RequestAction, TokenCounts,
};
pub use participants::{
    AttemptRunner, AttemptUpdate, Client, Rejection, ResponseSink, StreamInfo, StreamSuccessor,
};
pub use request_lifecycle::{resume_stream, serve};
