//! Follows the requests on a caller's connection, byte by byte, for what the HTTP library does not tell: a
//! head that has both a Content-Length and chunks. Another reader could take such a body for requests.

/// As much of a line as is looked at; names and sizes are shorter.
const MAX_LINE_BYTES: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ParserState {
    Head,
    Body(u64),
    ChunkSize,
    /// With the line end behind it.
    ChunkData(u64),
    Trailer,
    /// What came can't be followed; the library refuses it as well, or all that comes is suspect.
    Unparseable,
}

/// See the module's text.
pub struct RequestFraming {
    state: ParserState,
    line: Vec<u8>,
    /// Whether a line of the present head was seen: empty lines before it do not count.
    head_started: bool,
    content_length: Option<u64>,
    chunked: bool,
    ambiguous: bool,
}

impl Default for RequestFraming {
    fn default() -> RequestFraming {
        let line = Vec::with_capacity(MAX_LINE_BYTES);
        RequestFraming {
            state: ParserState::Head,
            line,
            head_started: false,
            content_length: None,
            chunked: false,
            ambiguous: false,
        }
    }
}

impl RequestFraming {
    /// Whether a head had two lengths, or the bytes can't be followed; from then on for good.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous || self.state == ParserState::Unparseable
    }

    /// Whether all that was read belongs to whole messages.
    pub fn is_between_messages(&self) -> bool {
        self.state == ParserState::Head && !self.head_started && self.line.is_empty()
    }

    /// Takes in what was read.
    pub fn advance(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.state != ParserState::Unparseable {
            bytes = match self.state {
                ParserState::Body(left) => {
                    self.skip_payload(bytes, left, ParserState::Head, ParserState::Body)
                }
                ParserState::ChunkData(left) => {
                    self.skip_payload(bytes, left, ParserState::ChunkSize, ParserState::ChunkData)
                }
                _ => self.read_line(bytes),
            };
        }
    }

    fn skip_payload<'a>(
        &mut self,
        bytes: &'a [u8],
        left: u64,
        then: ParserState,
        more: fn(u64) -> ParserState,
    ) -> &'a [u8] {
        let n = left.min(bytes.len() as u64);
        self.state = if n == left { then } else { more(left - n) };
        &bytes[n as usize..]
    }

    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|b| *b == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        let room = MAX_LINE_BYTES - self.line.len();
        self.line.extend_from_slice(&part[..part.len().min(room)]);
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
            ParserState::ChunkSize => {
                let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
                let size = std::str::from_utf8(&line[..digits]).unwrap_or_default();
                self.state = match u64::from_str_radix(size, 16) {
                    Ok(0) => ParserState::Trailer,
                    Ok(size) => ParserState::ChunkData(size.saturating_add(2)),
                    Err(_) => ParserState::Unparseable,
                };
            }
            ParserState::Trailer if line.is_empty() => self.state = ParserState::Head,
            _ => {}
        }
    }

    fn on_header_line(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|b| *b == b':') else { return };
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
        let (length, chunked) = (self.content_length.take(), std::mem::take(&mut self.chunked));
        self.head_started = false;
        self.ambiguous |= chunked && length.is_some();
        self.state = match (chunked, length) {
            (true, _) => ParserState::ChunkSize,
            (false, Some(length)) if length > 0 => ParserState::Body(length),
            _ => ParserState::Head,
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The same whatever the pieces in which it comes.
    fn is_ambiguous(text: &str) -> bool {
        let by = |size: usize| {
            let mut framing = RequestFraming::default();
            text.as_bytes().chunks(size).for_each(|piece| framing.advance(piece));
            framing.is_ambiguous()
        };
        let whole = by(text.len());
        assert!((1..9).all(|size| by(size) == whole), "{text}");
        whole
    }

    #[test]
    fn only_a_head_with_two_lengths_is_ambiguous() {
        let both = "POST / HTTP/1.1\r\ncontent-LENGTH: 4\r\nTransfer-Encoding: chunked\r\n\r\n";
        let turned = "POST / HTTP/1.1\nTransfer-Encoding:chunked\nX: y\nContent-Length:4\n\n";
        let inside = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n{both}", both.len());
        let chunked = format!(
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{:x};a=b\r\n{both}\r\n0;c\r\nA: b\r\n\r\n",
            both.len()
        );
        let get = "\r\nGET / HTTP/1.1\r\nHost: p\r\n\r\n";
        for good in [get, &inside, &chunked, &format!("{inside}{chunked}{get}{chunked}")] {
            assert!(!is_ambiguous(good), "{good}");
            assert!(is_ambiguous(&format!("{good}{both}")) && is_ambiguous(&format!("{good}{turned}{get}")));
        }
        assert!(is_ambiguous("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nhello\r\n"));
        assert!(is_ambiguous("POST / HTTP/1.1\r\nContent-Length: -4\r\n\r\n"));
    }
}
