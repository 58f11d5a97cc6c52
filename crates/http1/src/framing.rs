//! Tracks the framing of the requests on a client connection, to detect what hyper does not report: a head
//! with both a `Content-Length` and a `Transfer-Encoding`. Another implementation, such as a backend, could
//! read the body of such a request as further requests (request smuggling).

/// Number of bytes kept of a line. The header names and chunk sizes of interest are shorter.
const MAX_LINE_BYTES: usize = 64;
/// Length of the line end after the data of a chunk.
const CHUNK_END_BYTES: u64 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ParserState {
    /// In a head, or before it.
    Head,
    /// In a body of known length, with this many bytes left.
    Body(u64),
    /// In the line with the size of a chunk.
    ChunkSize,
    /// In the data of a chunk, with this many bytes left, including its line end.
    ChunkData(u64),
    /// In the lines after the last chunk.
    Trailer,
    /// Parsing has failed. Either hyper rejects the request as well, or the two disagree about its framing,
    /// and nothing that follows on the connection can be trusted.
    Unparseable,
}

/// Tracks the framing of the requests on one client connection.
pub struct RequestFraming {
    state: ParserState,
    /// The start of the current line, up to [`MAX_LINE_BYTES`].
    line: Vec<u8>,
    /// Whether a non-empty line of the current head has been read.
    head_started: bool,
    /// The `Content-Length` of the current head.
    content_length: Option<u64>,
    /// Whether the current head has a `Transfer-Encoding`.
    chunked: bool,
    ambiguous: bool,
    /// Number of complete requests.
    completed: u64,
}

impl Default for RequestFraming {
    fn default() -> RequestFraming {
        RequestFraming {
            state: ParserState::Head,
            line: Vec::with_capacity(MAX_LINE_BYTES),
            head_started: false,
            content_length: None,
            chunked: false,
            ambiguous: false,
            completed: 0,
        }
    }
}

impl RequestFraming {
    /// Whether a head had two lengths, or parsing has failed. Once true, it stays true.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous || self.state == ParserState::Unparseable
    }

    /// Whether all bytes so far belong to complete requests.
    pub fn is_between_messages(&self) -> bool {
        self.state == ParserState::Head && !self.head_started && self.line.is_empty()
    }

    /// Number of complete requests read so far.
    pub fn completed(&self) -> u64 {
        self.completed
    }

    /// Processes bytes that were read from the client.
    pub fn advance(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.state != ParserState::Unparseable {
            bytes = match self.state {
                ParserState::Body(remaining) => {
                    self.skip_payload(bytes, remaining, ParserState::Head, ParserState::Body)
                }
                ParserState::ChunkData(remaining) => {
                    self.skip_payload(bytes, remaining, ParserState::ChunkSize, ParserState::ChunkData)
                }
                _ => self.read_line(bytes),
            };
        }
    }

    /// Skips up to `remaining` bytes and returns the bytes after them. `at_end` is the next state if all were
    /// skipped, `before_end` makes the state for the number of bytes left.
    fn skip_payload<'a>(
        &mut self,
        bytes: &'a [u8],
        remaining: u64,
        at_end: ParserState,
        before_end: fn(u64) -> ParserState,
    ) -> &'a [u8] {
        let skipped = remaining.min(bytes.len() as u64);
        self.state = if skipped == remaining { at_end } else { before_end(remaining - skipped) };
        self.completed += u64::from(self.state == ParserState::Head);
        &bytes[skipped as usize..]
    }

    /// Reads up to the end of the line, if `bytes` has it. Returns the bytes after it.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        let capacity = MAX_LINE_BYTES - self.line.len();
        self.line.extend_from_slice(&part[..part.len().min(capacity)]);
        let Some(end) = end else { return &[] };
        let mut line = std::mem::take(&mut self.line);
        self.on_line(line.strip_suffix(b"\r").unwrap_or(&line));
        line.clear();
        self.line = line;
        &bytes[end + 1..]
    }

    fn on_line(&mut self, line: &[u8]) {
        match self.state {
            ParserState::Head if line.is_empty() && self.head_started => self.on_head_end(),
            ParserState::Head => {
                self.head_started |= !line.is_empty();
                self.on_header_line(line);
            }
            ParserState::ChunkSize => self.on_chunk_size(line),
            ParserState::Trailer if line.is_empty() => {
                self.state = ParserState::Head;
                self.completed += 1;
            }
            _ => {}
        }
    }

    fn on_header_line(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return };
        let name = &line[..colon];
        if name.eq_ignore_ascii_case(b"content-length") {
            let value = std::str::from_utf8(line[colon + 1..].trim_ascii()).unwrap_or_default();
            match value.parse() {
                Ok(length) => self.content_length = Some(length),
                Err(_) => self.state = ParserState::Unparseable,
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.chunked = true;
        }
    }

    fn on_head_end(&mut self) {
        let content_length = self.content_length.take();
        let chunked = std::mem::take(&mut self.chunked);
        self.head_started = false;
        self.ambiguous |= chunked && content_length.is_some();
        self.state = match (chunked, content_length) {
            (true, _) => ParserState::ChunkSize,
            (false, Some(length)) if length > 0 => ParserState::Body(length),
            _ => ParserState::Head,
        };
        self.completed += u64::from(self.state == ParserState::Head);
    }

    fn on_chunk_size(&mut self, line: &[u8]) {
        let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
        let size = std::str::from_utf8(&line[..digits]).unwrap_or_default();
        self.state = match u64::from_str_radix(size, 16) {
            Ok(0) => ParserState::Trailer,
            Ok(size) => ParserState::ChunkData(size.saturating_add(CHUNK_END_BYTES)),
            Err(_) => ParserState::Unparseable,
        };
    }
}
