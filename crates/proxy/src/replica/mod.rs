//! The upstream side: the known replicas, the connections to them, and one attempt to get a response.
//!
//! | module | job |
//! | --- | --- |
//! | [`replicas`] | which replicas exist and which may be sent requests |
//! | [`pool`], [`connection`], [`connection_state`], [`permit`], [`connect_error`] | pooled connections, and when one may be reused |
//! | [`attempt`], [`response`], [`classify`] | write a request to one replica and read its response |
//! | [`outcome`], [`request_kind`], [`retry`] | how an attempt ended, and what follows: the retry table |
//! | [`weights_expiry`] | when requests still queued on withdrawn weights are cancelled |

pub mod attempt;
pub mod classify;
pub mod connect_error;
pub mod connection;
pub mod connection_state;
pub mod outcome;
pub mod permit;
pub mod pool;
pub mod replicas;
pub mod request_kind;
pub mod response;
pub mod retry;
pub mod weights_expiry;
