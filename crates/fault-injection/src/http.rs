//! The subset of HTTP/1.1 that the harness speaks: messages with a length, one at a time on a connection.

use httparse::{Request, Response, EMPTY_HEADER};
use std::io::{Error, ErrorKind, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// A message that was read.
#[derive(Debug, Default)]
pub(crate) struct Message {
    /// Of an answer.
    pub(crate) status: u16,
    /// Of a request.
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

/// A connection on which messages are read.
pub(crate) struct Wire {
    pub(crate) stream: TcpStream,
    read: Vec<u8>,
}

fn bad(why: &str) -> Error {
    Error::new(ErrorKind::InvalidData, why.to_string())
}

fn headers(of: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    of.iter().map(|h| (h.name.to_string(), String::from_utf8_lossy(h.value).into_owned())).collect()
}

impl Wire {
    pub(crate) fn new(stream: TcpStream) -> Wire {
        // Fails only on a dead stream, which the first read tells.
        let _ = stream.set_nodelay(true);
        Wire { stream, read: Vec::with_capacity(1024) }
    }

    /// The head that is there in whole, and its length in bytes.
    fn head(&self, request: bool) -> Result<Option<(Message, usize)>> {
        let mut space = [EMPTY_HEADER; MAX_HEADERS];
        let (mut message, used) = if request {
            let mut head = Request::new(&mut space);
            match head.parse(&self.read).map_err(|e| bad(&e.to_string()))? {
                httparse::Status::Partial => return Ok(None),
                httparse::Status::Complete(used) => {
                    let target = head.path.unwrap_or_default().to_string();
                    (Message { target, headers: headers(head.headers), ..Message::default() }, used)
                }
            }
        } else {
            let mut head = Response::new(&mut space);
            match head.parse(&self.read).map_err(|e| bad(&e.to_string()))? {
                httparse::Status::Partial => return Ok(None),
                httparse::Status::Complete(used) => {
                    let status = head.code.unwrap_or_default();
                    (Message { status, headers: headers(head.headers), ..Message::default() }, used)
                }
            }
        };
        message.length = match message.header("content-length") {
            Some(text) => text.trim().parse().map_err(|_| bad("no length"))?,
            None => 0,
        };
        Ok(Some((message, used)))
    }

    /// The next message; `None` where the other side has ended between two of them.
    pub(crate) async fn message(&mut self, request: bool) -> Result<Option<Message>> {
        loop {
            if let Some((mut message, used)) = self.head(request)? {
                while self.read.len() < used + message.length {
                    if self.stream.read_buf(&mut self.read).await? == 0 {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                }
                message.body = self.read[used..used + message.length].to_vec();
                self.read.drain(..used + message.length);
                return Ok(Some(message));
            }
            if self.read.len() > MAX_HEAD_BYTES {
                return Err(bad("the head is too long"));
            }
            if self.stream.read_buf(&mut self.read).await? == 0 {
                return match self.read.is_empty() {
                    true => Ok(None),
                    false => Err(ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    pub(crate) async fn answer(&mut self, status: &str, more: &str, body: &str) -> Result<()> {
        let text = format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len());
        self.stream.write_all(text.as_bytes()).await
    }

    /// Whether more was read than the last message.
    pub(crate) fn has_more(&self) -> bool {
        !self.read.is_empty()
    }

    /// Waits until the other side closes or resets the connection, or sends data too early.
    pub(crate) async fn gone(&mut self) {
        let mut more = [0; 1];
        let _ = self.stream.read(&mut more).await;
    }
}

/// A request to a proxy, with the headers of the platform's protocol.
pub(crate) struct OutgoingRequest<'a> {
    pub(crate) id: &'a str,
    pub(crate) class: &'a str,
    pub(crate) tenant: Option<&'a str>,
    pub(crate) timeout_ms: u64,
    /// Its idempotency key, if its class has one.
    pub(crate) key: Option<&'a str>,
    /// Whether the class is idempotent.
    pub(crate) safe: bool,
    pub(crate) target: &'a str,
    pub(crate) retry: bool,
}

impl OutgoingRequest<'_> {
    pub(crate) fn encode(&self) -> String {
        let method = if self.safe { "GET" } else { "POST" };
        let tenant = self.tenant.map(|t| format!("Tenant: {t}\r\n")).unwrap_or_default();
        let key = self.key.map(|k| format!("Idempotency-Key: {k}\r\n")).unwrap_or_default();
        let retry = if self.retry { "Client-Retry: 1\r\n" } else { "" };
        let length = if self.safe { "" } else { "Content-Length: 0\r\n" };
        format!(
            "{method} {} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {}\r\nRequest-Class: {}\r\n\
             Request-Timeout-Ms: {}\r\n{tenant}{key}{retry}{length}\r\n",
            self.target, self.id, self.class, self.timeout_ms
        )
    }
}
