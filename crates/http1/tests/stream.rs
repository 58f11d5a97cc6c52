//! Tracking of the requests that are written to a connection.

use hillstall_http1::stream::{HyperStream, RequestBodyLength, TrackedStream};
use hillstall_proxy_core::metrics::Counter;
use hillstall_proxy_core::tuning::Tuning;
use hyper::rt::Write;
use std::future::poll_fn;
use std::pin::Pin;
use tokio::net::{TcpListener, TcpStream};

/// A connection on the loopback interface: the stream to write to, and its peer.
async fn connected_stream() -> (HyperStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a listener");
    let address = listener.local_addr().expect("read the listener address");
    let socket = TcpStream::connect(address).await.expect("open a connection");
    let (peer, _) = listener.accept().await.expect("accept the connection");
    (HyperStream(TrackedStream::new(socket, &Tuning::default())), peer)
}

async fn write(stream: &mut HyperStream, bytes: &[u8]) {
    let written =
        poll_fn(|cx| Pin::new(&mut *stream).poll_write(cx, bytes)).await.expect("write to the stream");
    assert_eq!(written, bytes.len());
}

#[test]
fn request_is_sent_only_when_its_last_body_byte_is_written() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    runtime.block_on(async {
        let (mut stream, _peer) = connected_stream().await;
        let sent_counter = Counter::default();
        stream.0.begin_request(RequestBodyLength::Known(3), sent_counter.clone());
        for part in [&b"POST / HTTP/1.1\r\nA: b\r"[..], b"\n\r", b"\nab"] {
            write(&mut stream, part).await;
            assert!(!stream.0.is_request_sent() && sent_counter.get() == 0);
        }
        write(&mut stream, b"c").await;
        assert!(stream.0.is_request_sent() && sent_counter.get() == 1);
    });
}
