//! Runs a proxy in the test process, with scripted replicas, over loopback.

#![allow(dead_code, unused_imports, reason = "each test file uses a subset")]

mod client;
mod fixtures;
mod harness;
mod http;
mod reading;
mod replica;

pub(crate) use client::TestClient;
pub(crate) use fixtures::{HOST, KEY, SEAL, configuration, replica_entry, route, settings};
pub(crate) use harness::{Harness, settle};
pub(crate) use http::{
    LAST_CHUNK, chunk, decoded_body, event, event_text, head, header, normalized, ok, post, post_with,
    post_with_long_body, response, status, stream_head, stream_head_with_length, unframed_stream_head,
};
pub(crate) use replica::{LONG_BODY, Script, ScriptedReplica, Step};
