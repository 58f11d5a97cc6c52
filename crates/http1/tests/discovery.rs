//! The client of the discovery service.

use hillstall_http1::discovery::HttpDiscovery;
use hillstall_proxy_core::discovery::Discovery;
use std::io::{Read, Write};
use std::net::TcpListener;

#[test]
fn fetched_list_may_span_several_lines() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a listener");
    let address = listener.local_addr().expect("read the listener address");
    let service = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("open a connection");
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).expect("read the request");
        let list = "{\"index\":41,\n\"snapshot\":true,\n\"endpoints\":[]}\n";
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())
            .expect("write the response");
    });
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    let list = runtime.block_on(HttpDiscovery.fetch(address)).expect("fetch the list");
    assert_eq!((list.version, list.is_snapshot), (41, true));
    service.join().expect("join the service thread");
}
