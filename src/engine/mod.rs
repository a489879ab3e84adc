//! Requests, attempts and outcomes; no wire is known here.
//!
//! [`Engine`] owns the load balancer, its clock and its timers. It feeds events to the load balancer and hands each action to
//! the request that waits for it. [`serve`] takes a request from its admission to its one final response: until the first
//! event by the load balancer's actions, from then on as a stream that is forwarded.

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
    AttemptRunner, BegunStream, Client, Rejection, ResponseSink, Step, StreamSuccessor,
};
pub use request_lifecycle::{carry_on, serve};
