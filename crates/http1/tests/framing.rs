//! Detection of requests with an ambiguous length on a client connection.

use hillstall_http1::framing::RequestFraming;

/// Whether a text is ambiguous. Checks that the result does not depend on how the text is split into reads.
fn is_ambiguous(text: &str) -> bool {
    let in_pieces_of = |size: usize| {
        let mut framing = RequestFraming::default();
        text.as_bytes().chunks(size).for_each(|piece| framing.advance(piece));
        framing.is_ambiguous()
    };
    let in_one_piece = in_pieces_of(text.len());
    assert!((1..9).all(|size| in_pieces_of(size) == in_one_piece), "{text}");
    in_one_piece
}

#[test]
fn only_heads_with_two_lengths_or_invalid_framing_are_ambiguous() {
    let both = "POST / HTTP/1.1\r\ncontent-LENGTH: 4\r\nTransfer-Encoding: chunked\r\n\r\n";
    let reversed = "POST / HTTP/1.1\nTransfer-Encoding:chunked\nX: y\nContent-Length:4\n\n";
    let inside = format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n{both}", both.len());
    let chunked = format!(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{:x};a=b\r\n{both}\r\n0;c\r\nA: b\r\n\r\n",
        both.len()
    );
    let get = "\r\nGET / HTTP/1.1\r\nHost: p\r\n\r\n";
    for valid in [get, &inside, &chunked, &format!("{inside}{chunked}{get}{chunked}")] {
        assert!(!is_ambiguous(valid), "{valid}");
        assert!(is_ambiguous(&format!("{valid}{both}")) && is_ambiguous(&format!("{valid}{reversed}{get}")));
    }
    assert!(is_ambiguous("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nhello\r\n"));
    assert!(is_ambiguous("POST / HTTP/1.1\r\nContent-Length: -4\r\n\r\n"));
}
