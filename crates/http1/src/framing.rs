//! Follows the requests on a caller's connection, byte by byte, for what the HTTP library does not tell: a
//! head that has both a Content-Length and chunks. Another reader could take such a body for requests.

/// As much of a line as is looked at; names and sizes are shorter.
const LINE_MOST: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Head,
    Data(u64),
    ChunkSize,
    /// With the line end behind it.
    Chunk(u64),
    Trailer,
    /// What came can't be followed; the library refuses it as well, or all that comes is suspect.
    Lost,
}

/// See the module's text.
pub struct Framing {
    state: State,
    line: Vec<u8>,
    /// Whether a line of the present head was seen: empty lines before it do not count.
    begun: bool,
    length: Option<u64>,
    chunked: bool,
    ambiguous: bool,
}

impl Default for Framing {
    fn default() -> Framing {
        let line = Vec::with_capacity(LINE_MOST);
        Framing { state: State::Head, line, begun: false, length: None, chunked: false, ambiguous: false }
    }
}

impl Framing {
    /// Whether a head had two lengths, or the bytes can't be followed; from then on for good.
    pub fn is_ambiguous(&self) -> bool {
        self.ambiguous || self.state == State::Lost
    }

    /// Whether all that was read belongs to whole messages.
    pub fn is_between(&self) -> bool {
        self.state == State::Head && !self.begun && self.line.is_empty()
    }

    /// Takes in what was read.
    pub fn add(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.state != State::Lost {
            bytes = match self.state {
                State::Data(left) => self.skip(bytes, left, State::Head, State::Data),
                State::Chunk(left) => self.skip(bytes, left, State::ChunkSize, State::Chunk),
                _ => self.lines(bytes),
            };
        }
    }

    fn skip<'a>(&mut self, bytes: &'a [u8], left: u64, then: State, more: fn(u64) -> State) -> &'a [u8] {
        let n = left.min(bytes.len() as u64);
        self.state = if n == left { then } else { more(left - n) };
        &bytes[n as usize..]
    }

    fn lines<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|b| *b == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        let room = LINE_MOST - self.line.len();
        self.line.extend_from_slice(&part[..part.len().min(room)]);
        let Some(end) = end else { return &[] };
        let mut line = std::mem::take(&mut self.line);
        self.line_ended(line.strip_suffix(b"\r").unwrap_or(&line));
        line.clear();
        self.line = line;
        &bytes[end + 1..]
    }

    fn line_ended(&mut self, line: &[u8]) {
        match self.state {
            State::Head if line.is_empty() && self.begun => self.head_ended(),
            State::Head => {
                self.begun |= !line.is_empty();
                self.header(line);
            }
            State::ChunkSize => {
                let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
                let size = std::str::from_utf8(&line[..digits]).unwrap_or_default();
                self.state = match u64::from_str_radix(size, 16) {
                    Ok(0) => State::Trailer,
                    Ok(size) => State::Chunk(size.saturating_add(2)),
                    Err(_) => State::Lost,
                };
            }
            State::Trailer if line.is_empty() => self.state = State::Head,
            _ => {}
        }
    }

    fn header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|b| *b == b':') else { return };
        let name = &line[..colon];
        if name.eq_ignore_ascii_case(b"content-length") {
            let value = std::str::from_utf8(line[colon + 1..].trim_ascii()).unwrap_or_default();
            match value.parse() {
                Ok(length) => self.length = Some(length),
                Err(_) => self.state = State::Lost,
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.chunked = true;
        }
    }

    fn head_ended(&mut self) {
        let (length, chunked) = (self.length.take(), std::mem::take(&mut self.chunked));
        self.begun = false;
        self.ambiguous |= chunked && length.is_some();
        self.state = match (chunked, length) {
            (true, _) => State::ChunkSize,
            (false, Some(length)) if length > 0 => State::Data(length),
            _ => State::Head,
        };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The same whatever the pieces in which it comes.
    fn is_ambiguous(text: &str) -> bool {
        let by = |size: usize| {
            let mut framing = Framing::default();
            text.as_bytes().chunks(size).for_each(|piece| framing.add(piece));
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
