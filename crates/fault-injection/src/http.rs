//! The subset of HTTP/1.1 that the harness uses: messages with a Content-Length, on persistent connections.

use httparse::{Request, Response, EMPTY_HEADER};
use std::io::{Error, ErrorKind, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// A request or response that was read.
#[derive(Debug, Default)]
pub(crate) struct Message {
    /// The status of a response; 0 in a request.
    pub(crate) status: u16,
    /// The target of a request; empty in a response.
    pub(crate) target: String,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    length: usize,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// A connection, with the bytes that were read and not yet consumed.
pub(crate) struct HttpConnection {
    pub(crate) stream: TcpStream,
    buffer: Vec<u8>,
}

fn invalid_data(reason: &str) -> Error {
    Error::new(ErrorKind::InvalidData, reason.to_string())
}

fn headers(parsed: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    parsed.iter().map(|h| (h.name.to_string(), String::from_utf8_lossy(h.value).into_owned())).collect()
}

impl HttpConnection {
    pub(crate) fn new(stream: TcpStream) -> HttpConnection {
        // Fails only on a stream that has ended, which the first read reports.
        let _ = stream.set_nodelay(true);
        HttpConnection { stream, buffer: Vec::with_capacity(1024) }
    }

    /// Parses a message head and returns it with its length in bytes; `None` while it is incomplete.
    fn parse_head(&self, is_request: bool) -> Result<Option<(Message, usize)>> {
        let mut space = [EMPTY_HEADER; MAX_HEADERS];
        let (mut message, used) = if is_request {
            let mut head = Request::new(&mut space);
            match head.parse(&self.buffer).map_err(|e| invalid_data(&e.to_string()))? {
                httparse::Status::Partial => return Ok(None),
                httparse::Status::Complete(used) => {
                    let target = head.path.unwrap_or_default().to_string();
                    (Message { target, headers: headers(head.headers), ..Message::default() }, used)
                }
            }
        } else {
            let mut head = Response::new(&mut space);
            match head.parse(&self.buffer).map_err(|e| invalid_data(&e.to_string()))? {
                httparse::Status::Partial => return Ok(None),
                httparse::Status::Complete(used) => {
                    let status = head.code.unwrap_or_default();
                    (Message { status, headers: headers(head.headers), ..Message::default() }, used)
                }
            }
        };
        message.length = match message.header("content-length") {
            Some(text) => text.trim().parse().map_err(|_| invalid_data("invalid Content-Length"))?,
            None => 0,
        };
        Ok(Some((message, used)))
    }

    /// Reads the next message, a request or a response; `None` if the peer closed the connection between two
    /// messages.
    pub(crate) async fn read_message(&mut self, is_request: bool) -> Result<Option<Message>> {
        loop {
            if let Some((mut message, used)) = self.parse_head(is_request)? {
                while self.buffer.len() < used + message.length {
                    if self.stream.read_buf(&mut self.buffer).await? == 0 {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                }
                message.body = self.buffer[used..used + message.length].to_vec();
                self.buffer.drain(..used + message.length);
                return Ok(Some(message));
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid_data("message head longer than 16 KiB"));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Writes a response. `status` is the code with its reason phrase, `headers` whole lines with their ends.
    pub(crate) async fn write_response(&mut self, status: &str, headers: &str, body: &str) -> Result<()> {
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len());
        self.stream.write_all(text.as_bytes()).await
    }

    /// Whether bytes beyond the last message were read.
    pub(crate) fn has_unread_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits until the peer closes or resets the connection, or sends data without waiting for its response.
    pub(crate) async fn closed(&mut self) {
        let mut byte = [0; 1];
        let _ = self.stream.read(&mut byte).await;
    }
}

/// A request to a proxy, with the headers of the platform's protocol and no body.
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) id: &'a str,
    pub(crate) class: &'a str,
    pub(crate) tenant: Option<&'a str>,
    pub(crate) timeout_ms: u64,
    /// The idempotency key, if the class uses one.
    pub(crate) key: Option<&'a str>,
    /// Whether the class is idempotent, and so sent as GET instead of POST.
    pub(crate) idempotent: bool,
    pub(crate) target: &'a str,
    /// Whether the client has sent the request before.
    pub(crate) is_retry: bool,
}

impl OutgoingRequest<'_> {
    pub(crate) fn encode(&self) -> String {
        let method = if self.idempotent { "GET" } else { "POST" };
        let tenant = self.tenant.map(|t| format!("Tenant: {t}\r\n")).unwrap_or_default();
        let key = self.key.map(|k| format!("Idempotency-Key: {k}\r\n")).unwrap_or_default();
        let retry = if self.is_retry { "Client-Retry: 1\r\n" } else { "" };
        let length = if self.idempotent { "" } else { "Content-Length: 0\r\n" };
        format!(
            "{method} {} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {}\r\nRequest-Class: {}\r\n\
             Request-Timeout-Ms: {}\r\n{tenant}{key}{retry}{length}\r\n",
            self.target, self.id, self.class, self.timeout_ms
        )
    }
}
