//! Encodes reply frames.

use hillstall_decision::{Action, RequestId};

/// Size of a reply header, in bytes.
pub const REPLY_HEADER_SIZE: usize = 12;

/// Codes of the records of a reply.
mod record_code {
    pub const SEND: u8 = 64;
    pub const REJECT: u8 = 65;
    pub const FAIL: u8 = 66;
    pub const CANCEL: u8 = 67;
    pub const SET_TIMER: u8 = 68;
    pub const PROBE: u8 = 69;
    pub const CLOSE_IDLE: u8 = 70;
    pub const MESSAGE: u8 = 71;
    pub const LOG: u8 = 72;
    pub const FATAL: u8 = 73;
    pub const SUBSCRIBE: u8 = 74;
    pub const FETCH: u8 = 75;
}

/// Recipient number of a message to all instances.
const ALL_INSTANCES: u32 = u32::MAX;

/// Encodes one reply frame at a time; the buffer is reused.
#[derive(Debug, Default)]
pub struct ReplyFrame {
    bytes: Vec<u8>,
    record_count: u32,
}

impl ReplyFrame {
    /// Starts a new, empty reply frame.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.bytes.resize(REPLY_HEADER_SIZE, 0);
        self.record_count = 0;
    }

    /// Appends a record that the instance failed, because its settings are invalid or its balancer panicked.
    pub fn push_fatal(&mut self, instance: u32, text: &str) {
        self.push_text(record_code::FATAL, instance, text);
    }

    /// Appends a record for one action of an instance.
    pub fn push_action(&mut self, instance: u32, action: &Action) {
        match action {
            Action::Send { request, backend, timeout_ms, .. } => {
                let out = self.start_for_request(record_code::SEND, instance, *request);
                out.extend(backend.to_be_bytes());
                out.extend(timeout_ms.to_be_bytes());
            }
            Action::Reject { request, retry_after_ms, .. } => {
                let out = self.start_for_request(record_code::REJECT, instance, *request);
                out.extend(retry_after_ms.to_be_bytes());
            }
            Action::Fail { request, .. } => {
                self.start_for_request(record_code::FAIL, instance, *request);
            }
            Action::Cancel { request, attempt } => {
                self.start_for_request(record_code::CANCEL, instance, *request).push(*attempt);
            }
            Action::SetTimer { after_ms, token } => {
                let out = self.start(record_code::SET_TIMER, instance);
                out.extend(after_ms.to_be_bytes());
                out.extend(token.to_be_bytes());
            }
            Action::Probe { backend } => {
                self.start(record_code::PROBE, instance).extend(backend.to_be_bytes());
            }
            Action::CloseIdle { backend } => {
                self.start(record_code::CLOSE_IDLE, instance).extend(backend.to_be_bytes());
            }
            Action::Message { to, bytes } => self.push_message(instance, *to, bytes),
            Action::Log(text) => self.push_text(record_code::LOG, instance, text),
            Action::Subscribe { on } => self.start(record_code::SUBSCRIBE, instance).push(u8::from(*on)),
            Action::Fetch => {
                self.start(record_code::FETCH, instance);
            }
        }
    }

    /// Writes the header and returns the complete frame.
    pub fn finish(&mut self, batch: u32) -> &[u8] {
        let size = self.bytes.len() as u32;
        self.bytes[0..4].copy_from_slice(&size.to_be_bytes());
        self.bytes[4..8].copy_from_slice(&self.record_count.to_be_bytes());
        self.bytes[8..12].copy_from_slice(&batch.to_be_bytes());
        &self.bytes
    }

    fn start(&mut self, code: u8, instance: u32) -> &mut Vec<u8> {
        self.record_count += 1;
        self.bytes.push(code);
        self.bytes.extend(instance.to_be_bytes());
        &mut self.bytes
    }

    fn start_for_request(&mut self, code: u8, instance: u32, request: RequestId) -> &mut Vec<u8> {
        let out = self.start(code, instance);
        out.extend(request.to_be_bytes());
        out
    }

    fn push_message(&mut self, instance: u32, to: Option<u32>, message: &[u8]) {
        let out = self.start(record_code::MESSAGE, instance);
        out.extend(to.unwrap_or(ALL_INSTANCES).to_be_bytes());
        out.extend((message.len() as u16).to_be_bytes());
        out.extend(message);
    }

    /// Appends a text record. The text is truncated to the maximum of its 16-bit length field.
    fn push_text(&mut self, code: u8, instance: u32, text: &str) {
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        let out = self.start(code, instance);
        out.extend((text.len() as u16).to_be_bytes());
        out.extend(text);
    }
}
