//! A proxy in the test's own process, with scripted replicas, over loopback.

#![allow(dead_code, unused_imports, reason = "each test file uses its part")]

mod bench;
mod client;
mod fixtures;
mod http;
mod reading;
mod replica;

pub(crate) use bench::{Bench, settle};
pub(crate) use client::TestClient;
pub(crate) use fixtures::{HOST, KEY, SEAL, configuration, replica_line, route, settings};
pub(crate) use http::{
    LAST, answer, chunk, event, head, header, ok, post, post_long, post_with, status, stream_head,
    transcript,
};
pub(crate) use replica::{LONG_BODY, Part, Script, StandIn};
