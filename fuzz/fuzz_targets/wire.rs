//! Request and response heads and bodies as received from a socket, possibly incomplete.
#![no_main]

use std::time::Duration;

use libfuzzer_sys::fuzz_target;
use tulipridge::limits::Limits;
use tulipridge::net::codec;

fuzz_target!(|input: &[u8]| {
    let limits = Limits::new(64, 64, Duration::from_secs(1), Duration::from_secs(1));
    let mut buf = input.to_vec();
    if let Ok(Some(head)) = codec::request_head(&mut buf, &limits.wire)
        && let Ok(mut body) = head.request_body(&limits.wire)
    {
        let mut out = Vec::new();
        let _ = body.take(&mut buf, &mut out, &limits.wire);
        assert!(out.len() <= input.len());
    }
    let mut buf = input.to_vec();
    if let Ok(Some(head)) = codec::response_head(&mut buf, &limits.wire)
        && let Ok(mut body) = head.response_body()
    {
        let mut out = Vec::new();
        let _ = body.take(&mut buf, &mut out, &limits.wire);
    }
});
