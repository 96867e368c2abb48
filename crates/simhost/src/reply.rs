//! Writes decisions as JSON lines into the reply.

use crankpick::interface::Writer;
use serde::Serialize;

/// Receives the decisions of one instance.
pub struct Reply<'a> {
    proxy: u64,
    lines: &'a mut Vec<u8>,
}

/// Any output message.
#[derive(Serialize, Default)]
#[serde(rename_all = "PascalCase")]
struct OutputMessage<'a> {
    #[serde(rename = "m")]
    message: &'a str,
    proxy: u64,
    #[serde(rename = "Ref", skip_serializing_if = "Option::is_none")]
    qry: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    backend: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    give_up_after_us: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    attempt: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    backoff_us: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_us: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ctx: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    want: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    recipient: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    bytes: Option<&'a str>,
}

impl<'a> Reply<'a> {
    pub fn new(proxy: u64, lines: &'a mut Vec<u8>) -> Self {
        Reply { proxy, lines }
    }

    /// Appends one message.
    fn write(&mut self, message: OutputMessage) {
        let message = OutputMessage { proxy: self.proxy, ..message };
        serde_json::to_writer(&mut *self.lines, &message).expect("plain text and numbers always serialise");
        self.lines.push(b'\n');
    }
}

/// Appends the message that ends the reply to a batch.
pub fn write_finished(batch: u64, lines: &mut Vec<u8>) {
    let line = serde_json::json!({ "m": "Finished", "turn": batch });
    lines.extend_from_slice(line.to_string().as_bytes());
    lines.push(b'\n');
}

impl Writer for Reply<'_> {
    fn execute(&mut self, qry: &str, backend: u32, timeout_us: u64, _: u64) {
        self.write(OutputMessage {
            message: "HandOff",
            qry: Some(qry),
            backend: Some(backend),
            give_up_after_us: Some(timeout_us),
            ..OutputMessage::default()
        });
    }

    fn cancel(&mut self, qry: &str, execution: u32) {
        self.write(OutputMessage {
            message: "Revoke",
            qry: Some(qry),
            attempt: Some(execution),
            ..OutputMessage::default()
        });
    }

    fn reject(&mut self, qry: &str, backoff_us: u64) {
        self.write(OutputMessage {
            message: "OverloadReply",
            qry: Some(qry),
            backoff_us: Some(backoff_us),
            ..OutputMessage::default()
        });
    }

    fn abort(&mut self, qry: &str) {
        self.write(OutputMessage { message: "RespondError", qry: Some(qry), ..OutputMessage::default() });
    }

    fn wake(&mut self, in_us: u64, token: &str) {
        self.write(OutputMessage {
            message: "WakeAt",
            in_us: Some(in_us),
            ctx: Some(token),
            ..OutputMessage::default()
        });
    }

    fn subscribe(&mut self) {
        self.write(OutputMessage { message: "Subscribe", want: Some(true), ..OutputMessage::default() });
    }

    fn probe(&mut self, backend: u32) {
        self.write(OutputMessage { message: "SoundOut", backend: Some(backend), ..OutputMessage::default() });
    }

    fn send_note(&mut self, peer: u32, bytes: &str) {
        self.write(OutputMessage {
            message: "Announce",
            recipient: Some(peer),
            bytes: Some(bytes),
            ..OutputMessage::default()
        });
    }
}
