//! Assembly of one message from the events of a stream.

use serde_json::{Map, Value};
use snafu::{ResultExt, Snafu};

use tulipridge_http1::codec::{self, SseBlock};

/// Memory of a block in addition to its data.
const BLOCK_OVERHEAD_BYTES: usize = 256;

/// An error event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedError {
    /// Error type of the messages API.
    pub kind: String,
    /// Error message.
    pub message: String,
}

/// Why a message can't be assembled.
#[derive(Debug, Snafu)]
pub enum AssemblyError {
    /// The stream has no `message_start` event.
    #[snafu(display("the replica's response has no message_start"))]
    NoMessageStart,
    /// The input of a tool call is not a JSON object.
    #[snafu(display("the input of the response's block {index} is not a JSON object"))]
    InvalidInput {
        /// Index of the block.
        index: u64,
    },
    /// The message can't be serialized.
    #[snafu(display("{source}"))]
    NotJson {
        /// The serializer's error.
        source: serde_json::Error,
    },
}

/// A message during its assembly.
#[derive(Default)]
pub struct MessageAssembler {
    message: Map<String, Value>,
    blocks: Vec<Block>,
    /// Size of the message so far, with the overhead of its blocks.
    buffered_bytes: usize,
    max_bytes: usize,
    error: Option<ReportedError>,
    /// Names of events without a counterpart in a message.
    omitted: Vec<String>,
}

/// A content block, and the JSON text of its input, which is complete only at the end of the block.
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

    /// Size of the buffered message in bytes.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Whether the message is larger than `max_bytes`. Further events are ignored.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.buffered_bytes > self.max_bytes
    }

    /// The last error event of the stream.
    #[must_use]
    pub fn error(&self) -> Option<&ReportedError> {
        self.error.as_ref()
    }

    /// Removes and returns the names of events without a counterpart in a message, one for each occurrence.
    pub fn take_omitted(&mut self) -> Vec<String> {
        std::mem::take(&mut self.omitted)
    }

    /// Adds complete events.
    pub fn events(&mut self, events: &[u8]) {
        for block in codec::sse_blocks(events) {
            if !block.is_comment() && !self.is_full() {
                self.add_event(block);
            }
        }
    }

    fn add_event(&mut self, block: SseBlock<'_>) {
        let name = block.name();
        let data = block.data();
        let Ok(Value::Object(mut event)) = serde_json::from_str(&data) else {
            return self.omitted.push(name.to_owned());
        };
        let index = event.get("index").and_then(Value::as_u64).unwrap_or(0);
        match (name, event.remove("message"), event.remove("content_block"), event.remove("delta")) {
            ("message_start", Some(Value::Object(message)), ..) => {
                self.buffered_bytes += data.len();
                self.message = message;
            }
            ("content_block_start", _, Some(Value::Object(value)), _) => {
                // Empty blocks take memory too.
                self.buffered_bytes += data.len() + BLOCK_OVERHEAD_BYTES;
                self.blocks.push(Block { index, value, input: String::new() });
            }
            ("content_block_delta", _, _, Some(Value::Object(delta))) => self.add_delta(index, delta),
            ("message_delta", _, _, delta) => {
                if let Some(Value::Object(delta)) = delta {
                    self.buffered_bytes += data.len();
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

    fn add_delta(&mut self, index: u64, mut delta: Map<String, Value>) {
        let kind = delta.remove("type");
        let kind = kind.as_ref().and_then(Value::as_str).unwrap_or_default();
        // A delta usually belongs to the last block.
        let block = self.blocks.iter_mut().rev().find(|b| b.index == index);
        let Some(block) = block else { return self.omitted.push(format!("content_block_delta {kind}")) };
        let (delta_field, block_field) = match kind {
            "text_delta" => ("text", "text"),
            "thinking_delta" => ("thinking", "thinking"),
            "signature_delta" => ("signature", "signature"),
            "input_json_delta" => {
                if let Some(Value::String(json)) = delta.get("partial_json") {
                    self.buffered_bytes += json.len();
                    block.input.push_str(json);
                }
                return;
            }
            "citations_delta" => {
                if let Some(citation) = delta.remove("citation") {
                    self.buffered_bytes += citation.to_string().len();
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
        if let Some(Value::String(addition)) = delta.get(delta_field) {
            self.buffered_bytes += addition.len();
            let text = block.value.entry(block_field).or_insert_with(|| Value::String(String::new()));
            match text {
                Value::String(text) => text.push_str(addition),
                other => *other = Value::String(addition.clone()),
            }
        }
    }

    /// Serializes the complete message.
    ///
    /// # Errors
    ///
    /// If the message has no fields, if the input of a block is not a JSON object, or if the message can't be
    /// serialized.
    pub fn finish(self) -> Result<Vec<u8>, AssemblyError> {
        let MessageAssembler { mut message, mut blocks, .. } = self;
        if message.is_empty() {
            return NoMessageStartSnafu.fail();
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
