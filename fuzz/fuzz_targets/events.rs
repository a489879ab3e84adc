//! Event streams: translated between the dialects in batches of any size, and assembled into one message.
#![no_main]

use std::rc::Rc;
use std::time::Duration;

use libfuzzer_sys::fuzz_target;
use tulipridge::front::messages::message_assembler::MessageAssembler;
use tulipridge::front::{Dialect, OmissionLog, StreamTranslator};
use tulipridge::limits::Limits;
use tulipridge::net::codec;

fuzz_target!(|input: &[u8]| {
    let Some((batch_size, stream)) = input.split_first() else { return };
    let limits = Limits::new(64, 64, Duration::from_secs(1), Duration::from_secs(1));
    for (client_dialect, replica_dialect) in
        [(Dialect::Messages, Dialect::Platform), (Dialect::Platform, Dialect::Messages)]
    {
        let translate = |batch_size: usize| {
            let omissions = Rc::new(OmissionLog::new(&limits));
            let mut translator = StreamTranslator::new(client_dialect, "1", "m", omissions, &limits);
            let (mut text, mut scanned, mut out) = (Vec::new(), 0, Vec::new());
            for part in stream.chunks(batch_size) {
                text.extend_from_slice(part);
                let Ok(batch) = codec::sse_batch(&mut text, &mut scanned, &limits.wire) else { return out };
                translator.events(replica_dialect, &batch, &mut out);
                if translator.is_full() {
                    return out;
                }
                assert!(translator.buffered_bytes() <= limits.messages.pending_tool_call_bytes);
            }
            out
        };
        let expected = translate(stream.len().max(1));
        assert!(
            expected == translate(usize::from(*batch_size).max(1)),
            "the translation depends on the batch size"
        );
    }
    let mut assembler = MessageAssembler::new(4096);
    assembler.events(stream);
    let _ = assembler.finish();
});
