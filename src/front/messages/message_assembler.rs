//! Assembles one message from the events of a stream.

use serde_json::{Map, Value};
use snafu::{ResultExt, Snafu};

use tulipridge_http1::codec::{self, SseBlock};

/// Memory that a block takes beside its data, in bytes.
const BLOCK_OVERHEAD_BYTES: usize = 256;

/// An error that a stream has reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedError {
    /// Its type, as the messages API names it.
    pub kind: String,
    /// Its message.
    pub message: String,
}

/// Why a message can't be assembled.
#[derive(Debug, Snafu)]
pub enum AssemblyError {
    /// No event has begun a message.
    #[snafu(display("the replica's response has no message_start"))]
    NoBeginning,
    /// The input of a block is not a JSON object.
    #[snafu(display("the input of the response's block {index} is not a JSON object"))]
    InvalidInput {
        /// The index of the block.
        index: u64,
    },
    /// The message can't be written as JSON.
    #[snafu(display("{source}"))]
    NotJson {
        /// The error of the writer.
        source: serde_json::Error,
    },
}

/// A message that is being assembled.
#[derive(Default)]
pub struct MessageAssembler {
    message: Map<String, Value>,
    blocks: Vec<Block>,
    /// Bytes received so far.
    buffered: usize,
    max_bytes: usize,
    error: Option<ReportedError>,
    /// Names of events that have no counterpart in a message.
    omitted: Vec<String>,
}

/// A block, and the JSON of its input, which is complete only at its end.
struct Block {
    index: u64,
    value: Map<String, Value>,
    input: String,
}

impl MessageAssembler {
    /// Starts an empty message; at most `max_bytes` may be buffered.
    #[must_use]
    pub fn new(max_bytes: usize) -> MessageAssembler {
        MessageAssembler { max_bytes, ..MessageAssembler::default() }
    }

    /// Bytes that are buffered.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffered
    }

    /// Whether more was received than may be buffered.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.buffered > self.max_bytes
    }

    /// The error that the stream has reported.
    #[must_use]
    pub fn error(&self) -> Option<&ReportedError> {
        self.error.as_ref()
    }

    /// Takes the names of events that have no counterpart in a message, one for each occurrence.
    pub fn take_omitted(&mut self) -> Vec<String> {
        std::mem::take(&mut self.omitted)
    }

    /// Adds complete events.
    pub fn events(&mut self, events: &[u8]) {
        for block in codec::sse_blocks(events) {
            if !block.is_comment() && !self.is_full() {
                self.event(block);
            }
        }
    }

    fn event(&mut self, block: SseBlock<'_>) {
        let name = block.name();
        let data = block.data();
        let Ok(Value::Object(mut event)) = serde_json::from_str(&data) else {
            return self.omitted.push(name.to_owned());
        };
        let index = event.get("index").and_then(Value::as_u64).unwrap_or(0);
        match (name, event.remove("message"), event.remove("content_block"), event.remove("delta")) {
            ("message_start", Some(Value::Object(message)), ..) => {
                self.buffered += data.len();
                self.message = message;
            }
            ("content_block_start", _, Some(Value::Object(value)), _) => {
                // An empty block takes memory too.
                self.buffered += data.len() + BLOCK_OVERHEAD_BYTES;
                self.blocks.push(Block { index, value, input: String::new() });
            }
            ("content_block_delta", _, _, Some(Value::Object(delta))) => self.delta(index, delta),
            ("message_delta", _, _, delta) => {
                if let Some(Value::Object(delta)) = delta {
                    self.buffered += data.len();
                    self.message.extend(delta);
                }
                if let Some(Value::Object(update)) = event.remove("usage") {
                    let usage = self.message.entry("usage").or_insert_with(|| Value::Object(Map::new()));
                    if let Value::Object(usage) = usage {
                        usage.extend(update.into_iter().filter(|(_, v)| !v.is_null()));
                    }
                }
            }
            ("error", ..) => {
                let error = event.remove("error").unwrap_or_default();
                let field = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
                self.error = Some(ReportedError { kind: field("type"), message: field("message") });
            }
            ("content_block_stop" | "message_stop" | "ping", ..) => {}
            _ => self.omitted.push(name.to_owned()),
        }
    }

    fn delta(&mut self, index: u64, mut delta: Map<String, Value>) {
        let kind = delta.remove("type");
        let kind = kind.as_ref().and_then(Value::as_str).unwrap_or_default();
        // Deltas are usually for the last block.
        let block = self.blocks.iter_mut().rev().find(|b| b.index == index);
        let Some(block) = block else { return self.omitted.push(format!("content_block_delta {kind}")) };
        let (from, to) = match kind {
            "text_delta" => ("text", "text"),
            "thinking_delta" => ("thinking", "thinking"),
            "signature_delta" => ("signature", "signature"),
            "input_json_delta" => {
                if let Some(Value::String(json)) = delta.get("partial_json") {
                    self.buffered += json.len();
                    block.input.push_str(json);
                }
                return;
            }
            "citations_delta" => {
                if let Some(citation) = delta.remove("citation") {
                    self.buffered += citation.to_string().len();
                    let list = block.value.entry("citations").or_insert_with(|| Value::Array(Vec::new()));
                    if list.is_null() {
                        *list = Value::Array(Vec::new());
                    }
                    if let Value::Array(list) = list {
                        list.push(citation);
                    }
                }
                return;
            }
            other => return self.omitted.push(format!("content_block_delta {other}")),
        };
        if let Some(Value::String(addition)) = delta.get(from) {
            self.buffered += addition.len();
            let text = block.value.entry(to).or_insert_with(|| Value::String(String::new()));
            match text {
                Value::String(text) => text.push_str(addition),
                other => *other = Value::String(addition.clone()),
            }
        }
    }

    /// The complete message as JSON.
    ///
    /// # Errors
    ///
    /// If no event gave the message a field, if the input of a block is not a JSON object, or if the message can't
    /// be written as JSON.
    pub fn finish(self) -> Result<Vec<u8>, AssemblyError> {
        let MessageAssembler { mut message, mut blocks, .. } = self;
        if message.is_empty() {
            return NoBeginningSnafu.fail();
        }
        blocks.sort_by_key(|b| b.index);
        let mut content = Vec::with_capacity(blocks.len());
        for Block { index, mut value, input } in blocks {
            if !input.is_empty() {
                let Ok(input @ Value::Object(_)) = serde_json::from_str::<Value>(&input) else {
                    return InvalidInputSnafu { index }.fail();
                };
                value.insert("input".into(), input);
            }
            content.push(Value::Object(value));
        }
        message.insert("content".into(), content.into());
        message.entry("type").or_insert_with(|| "message".into());
        message.entry("role").or_insert_with(|| "assistant".into());
        message.entry("stop_sequence").or_insert(Value::Null);
        serde_json::to_vec(&message).context(NotJsonSnafu)
    }
}
