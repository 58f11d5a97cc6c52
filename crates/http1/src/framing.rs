//! Follows the framing of the requests on a client connection byte by byte, to find what hyper does not report: a
//! head with both a `Content-Length` and chunks. Another implementation could read the body of such a request as
//! further requests (request smuggling).

/// How much of a line is kept, in bytes; the names and sizes of interest are shorter.
const MAX_LINE_BYTES: usize = 64;
/// The line end after the data of a chunk.
const CHUNK_END_BYTES: u64 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ParserState {
    /// In a head, or before one.
    Head,
    /// In a body of known length, with this many bytes to come.
    Body(u64),
    /// In the line with the size of a chunk.
    ChunkSize,
    /// In the data of a chunk, with this many bytes to come, its line end included.
    ChunkData(u64),
    /// In the lines after the last chunk.
    Trailer,
    /// The bytes can't be followed. Either hyper rejects them as well, or everything that follows is suspect.
    Unparseable,
}

/// The framing of the requests on one client connection.
pub struct RequestFraming {
    state: ParserState,
    /// The start of the present line, up to [`MAX_LINE_BYTES`].
    line: Vec<u8>,
    /// Whether a line of the present head has come; empty lines before it do not count.
    head_started: bool,
    /// The `Content-Length` of the present head.
    content_length: Option<u64>,
    /// Whether the present head has a `Transfer-Encoding`.
    chunked: bool,
    ambiguous: bool,
    /// How many requests have come whole.
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
    /// Whether a head had two lengths, or the bytes can't be followed. Once true, it stays true.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous || self.state == ParserState::Unparseable
    }

    /// Whether all bytes so far belong to complete requests.
    pub fn is_between_messages(&self) -> bool {
        self.state == ParserState::Head && !self.head_started && self.line.is_empty()
    }

    /// How many requests have come whole.
    pub fn completed(&self) -> u64 {
        self.completed
    }

    /// Follows the bytes that were read.
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

    /// Skips up to `remaining` bytes. `at_end` is the state after the last of them, `before_end` the state with that
    /// many still to come. Returns what follows.
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

    /// Reads to the end of the line, if it has come. Returns what follows.
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
