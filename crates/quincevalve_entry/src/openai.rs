//! The OpenAI-compatible formats of request bodies, stream chunks and complete responses.

use std::fmt::Write as _;

use bytes::{Bytes, BytesMut};
use quincevalve_names::{RequestId, Sequence, hash_text};
use quincevalve_recovery::Generation;
use serde::{Deserialize, Serialize};

use crate::{answer::End, refusal::RefusalKind};

/// Token limit for requests that state none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Bytes per token assumed when estimating the length of a prompt.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of bytes of a single-message prompt that count as its shared prefix.
const PREFIX_BYTES: usize = 256;

/// The endpoint that determines the format of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamShape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// A request body of either endpoint. Unused fields are ignored, since OpenAI clients send many.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionBody {
    pub(crate) model: Option<String>,
    messages: Option<Vec<Message>>,
    prompt: Option<String>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

impl CompletionBody {
    /// Parses a body. The error message names the invalid field.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, RefusalKind> {
        serde_json::from_slice(bytes).map_err(|error| RefusalKind::BadRequest {
            param: "body",
            message: format!("the body is not the JSON of a completion request: {error}"),
        })
    }

    /// Converts the body into the work for the model, limited to `max_output_tokens`.
    pub(crate) fn into_generation(
        self,
        shape: StreamShape,
        max_output_tokens: u32,
    ) -> Result<Generation, RefusalKind> {
        let (prompt, prefix_bytes) = match shape {
            StreamShape::Chat => chat_prompt(self.messages)?,
            StreamShape::Text => text_prompt(self.prompt)?,
        };
        let requested =
            self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
        if requested == 0 {
            return Err(missing("max_tokens", "must be 1 or more"));
        }
        let prefix = hash_text(&prompt[..floor_char_boundary(&prompt, prefix_bytes)]);
        let prompt_tokens = (prompt.len() / BYTES_PER_TOKEN + 1) as u32;
        let model = self.model.unwrap_or_default().as_str().into();
        Ok(Generation {
            model,
            prompt,
            prefix,
            prompt_tokens,
            max_tokens: requested.min(max_output_tokens),
        })
    }
}

fn chat_prompt(messages: Option<Vec<Message>>) -> Result<(String, usize), RefusalKind> {
    let messages = messages.filter(|it| !it.is_empty());
    let messages = messages.ok_or_else(|| missing("messages", "must have a message or more"))?;
    let mut prompt = String::new();
    let mut prefix = 0;
    for message in &messages {
        prefix = prompt.len();
        let _ = writeln!(prompt, "{}: {}", message.role, message.content);
    }
    let prefix = if prefix == 0 { PREFIX_BYTES.min(prompt.len()) } else { prefix };
    Ok((prompt, prefix))
}

fn text_prompt(prompt: Option<String>) -> Result<(String, usize), RefusalKind> {
    let prompt = prompt.ok_or_else(|| missing("prompt", "must be a text"))?;
    let prefix = PREFIX_BYTES.min(prompt.len());
    Ok((prompt, prefix))
}

fn missing(param: &'static str, problem: &str) -> RefusalKind {
    RefusalKind::BadRequest { param, message: format!("`{param}` {problem}") }
}

fn floor_char_boundary(text: &str, at: usize) -> usize {
    (0..=at.min(text.len())).rev().find(|it| text.is_char_boundary(*it)).unwrap_or(0)
}

/// Encodes the server-sent events of one stream.
///
/// Each event's `id` is the token's position, so that a caller that lost the connection can resume from there with
/// `GET /v1/requests/{id}?from=N`.
#[derive(Debug)]
pub(crate) struct ChunkWriter {
    shape: StreamShape,
    head: String,
    buffer: BytesMut,
}

impl ChunkWriter {
    pub(crate) fn new(id: RequestId, shape: StreamShape) -> Self {
        let object = match shape {
            StreamShape::Chat => "chat.completion.chunk",
            StreamShape::Text => "text_completion",
        };
        let head =
            format!("data: {{\"id\":\"{id}\",\"object\":\"{object}\",\"choices\":[{{\"index\":0,");
        Self { shape, head, buffer: BytesMut::new() }
    }

    pub(crate) fn token(&mut self, seq: Sequence, text: &str) {
        let _ = writeln!(self.buffer, "id: {seq}");
        self.buffer.extend_from_slice(self.head.as_bytes());
        let field: &[u8] = match self.shape {
            StreamShape::Chat => b"\"delta\":{\"content\":",
            StreamShape::Text => b"\"text\":",
        };
        self.buffer.extend_from_slice(field);
        write_json_text(&mut self.buffer, text);
        let tail: &[u8] = match self.shape {
            StreamShape::Chat => b"},\"finish_reason\":null}]}\n\n",
            StreamShape::Text => b",\"finish_reason\":null}]}\n\n",
        };
        self.buffer.extend_from_slice(tail);
    }

    /// Writes the end of the stream. `[DONE]` is written only if the answer is complete.
    pub(crate) fn end(&mut self, end: &End, tokens: u32) {
        match end {
            End::Whole => {
                self.buffer.extend_from_slice(self.head.as_bytes());
                let field: &[u8] = match self.shape {
                    StreamShape::Chat => b"\"delta\":{},",
                    StreamShape::Text => b"\"text\":\"\",",
                };
                self.buffer.extend_from_slice(field);
                let _ = write!(
                    self.buffer,
                    "\"finish_reason\":\"stop\"}}],\"usage\":{{\"completion_tokens\":{tokens}}}}}\n\n"
                );
                self.buffer.extend_from_slice(b"data: [DONE]\n\n");
            }
            End::Refused(refusal) => {
                self.buffer.extend_from_slice(b"event: error\ndata: ");
                self.buffer.extend_from_slice(&refusal.to_json());
                self.buffer.extend_from_slice(b"\n\n");
            }
            End::Moved => {
                self.buffer.extend_from_slice(b"event: moved\ndata: {\"reattach\":true}\n\n");
            }
        }
    }

    pub(crate) fn take(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Writes `text` as a JSON string directly into the buffer.
fn write_json_text(buffer: &mut BytesMut, text: &str) {
    buffer.extend_from_slice(b"\"");
    let mut unescaped_start = 0;
    for (index, byte) in text.bytes().enumerate() {
        let needs_escape = byte < 0x20 || byte == b'"' || byte == b'\\';
        if !needs_escape {
            continue;
        }
        buffer.extend_from_slice(&text.as_bytes()[unescaped_start..index]);
        match byte {
            b'"' => buffer.extend_from_slice(b"\\\""),
            b'\\' => buffer.extend_from_slice(b"\\\\"),
            b'\n' => buffer.extend_from_slice(b"\\n"),
            _ => drop(write!(buffer, "\\u{byte:04x}")),
        }
        unescaped_start = index + 1;
    }
    buffer.extend_from_slice(&text.as_bytes()[unescaped_start..]);
    buffer.extend_from_slice(b"\"");
}

#[derive(Serialize)]
struct WholeBody<'a> {
    id: RequestId,
    object: &'a str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<WholeMessage<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct WholeMessage<'a> {
    role: &'a str,
    content: &'a str,
}

#[derive(Serialize)]
#[expect(clippy::struct_field_names, reason = "the names of the OpenAI interface")]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

/// Returns the complete, non-streamed response body of either endpoint.
pub(crate) fn whole_body(
    id: RequestId,
    shape: StreamShape,
    model: &str,
    text: &str,
    prompt_tokens: u32,
    completion_tokens: u32,
) -> Bytes {
    let (object, message, text) = match shape {
        StreamShape::Chat => {
            ("chat.completion", Some(WholeMessage { role: "assistant", content: text }), None)
        }
        StreamShape::Text => ("text_completion", None, Some(text)),
    };
    let choices = [Choice { index: 0, message, text, finish_reason: "stop" }];
    let total_tokens = prompt_tokens + completion_tokens;
    let usage = Usage { prompt_tokens, completion_tokens, total_tokens };
    let body = WholeBody { id, object, model, choices, usage };
    serde_json::to_vec(&body).unwrap_or_default().into()
}
