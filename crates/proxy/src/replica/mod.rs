//! The upstream side: the replica list, pooled connections to replicas, and attempts.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`replicas`] | the replica list, and which replicas may receive requests |
//! | [`pool`], [`connection`], [`connection_state`], [`permit`], [`connect_error`] | pooled connections and their reuse |
//! | [`attempt`], [`response`], [`classify`] | sending a request to one replica and reading its response |
//! | [`outcome`], [`request_kind`], [`retry`] | the outcome of an attempt, and the retry table |
//! | [`weights_expiry`] | cancellation of requests queued on a withdrawn revision of the weights |

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
