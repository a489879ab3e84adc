//! Streams of both dialects: translated either way, in batches cut anywhere, and gathered into a whole.
#![no_main]

use std::rc::Rc;
use std::time::Duration;

use libfuzzer_sys::fuzz_target;
use tulipridge::front::messages::message_assembler::MessageAssembler;
use tulipridge::front::{Dialect, OmissionLog, StreamTranslator};
use tulipridge::limits::Limits;
use tulipridge::net::codec;

fuzz_target!(|input: &[u8]| {
    let Some((cut, stream)) = input.split_first() else { return };
    let limits = Limits::new(64, 64, Duration::from_secs(1), Duration::from_secs(1));
    for (client, server) in [(Dialect::Messages, Dialect::Platform), (Dialect::Platform, Dialect::Messages)] {
        let run = |step: usize| {
            let omissions = Rc::new(OmissionLog::new(&limits));
            let mut translator = StreamTranslator::new(client, "1", "m", omissions, &limits);
            let (mut text, mut scanned, mut out) = (Vec::new(), 0, Vec::new());
            for piece in stream.chunks(step) {
                text.extend_from_slice(piece);
                let Ok(batch) = codec::sse_batch(&mut text, &mut scanned, &limits.wire) else { return out };
                translator.events(server, &batch, &mut out);
                if translator.is_full() {
                    return out;
                }
                assert!(translator.buffered_bytes() <= limits.messages.pending_tool_call_bytes);
            }
            out
        };
        let whole = run(stream.len().max(1));
        assert!(whole == run(usize::from(*cut).max(1)), "the same stream in other pieces");
    }
    let mut assembler = MessageAssembler::new(4096);
    assembler.events(stream);
    let _ = assembler.finish();
});
