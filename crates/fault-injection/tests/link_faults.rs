//! Each fault of a link, on real sockets: which bytes pass, and what each end observes.

use hillstall_fault_injection::tcp_proxy::{ConnectionLinks, Fault, TcpProxy};
use hillstall_fault_injection::udp_proxy::UdpProxy;
use std::future::Future;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

/// How long a test waits before it concludes that nothing arrives; far above a round trip on loopback.
const SILENCE: Duration = Duration::from_millis(300);
/// Time limit of a test; far above what any test takes, so that only a hang reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(TEST_TIMEOUT, test).await.expect("the test ends in time");
    });
}

/// A link to a server that sends back every byte.
async fn link_to_echo_server() -> Rc<TcpProxy> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let target = listener.local_addr().expect("the local address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    TcpProxy::start(0, target, ConnectionLinks::default()).expect("a link")
}

async fn connect(link: &TcpProxy) -> std::io::Result<TcpStream> {
    TcpStream::connect(link.address()).await
}

/// Sends four bytes and returns the four that come back.
async fn exchange(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    stream.write_all(b"word").await?;
    let mut back = [0; 4];
    stream.read_exact(&mut back).await?;
    Ok(back)
}

#[test]
fn a_silent_link_keeps_open_connections_and_accepts_none_until_the_fault_ends() {
    run_test(async {
        let link = link_to_echo_server().await;
        let mut open = connect(&link).await.expect("accepted");
        assert_eq!(&exchange(&mut open).await.expect("the bytes pass"), b"word");
        link.set_fault(Fault::Silent);
        let before = link.transferred();
        assert!(timeout(SILENCE, exchange(&mut open)).await.is_err(), "no bytes and no error arrive");
        assert!(timeout(SILENCE, connect(&link)).await.is_err(), "a new connection is never established");
        assert_eq!(link.transferred().to_target, before.to_target);
        link.set_fault(Fault::None);
        let mut blocked = [0; 4];
        open.read_exact(&mut blocked).await.expect("the blocked bytes arrive now");
        assert_eq!(
            &exchange(&mut connect(&link).await.expect("accepted")).await.expect("the bytes pass"),
            b"word"
        );
    });
}

#[test]
fn a_fault_of_one_direction_blocks_only_that_direction() {
    run_test(async {
        for (fault, reaches) in [(Fault::LoseFromClient, false), (Fault::LoseFromTarget, true)] {
            let link = link_to_echo_server().await;
            let mut open = connect(&link).await.expect("accepted");
            exchange(&mut open).await.expect("the bytes pass");
            link.set_fault(fault);
            let before = link.transferred();
            assert!(timeout(SILENCE, exchange(&mut open)).await.is_err(), "no response with {fault:?}");
            assert_eq!(link.transferred().to_target > before.to_target, reaches, "{fault:?}");
            assert_eq!(link.transferred().to_client, before.to_client, "{fault:?}");
        }
    });
}

#[test]
fn a_reset_ends_open_connections_and_a_refusal_does_not() {
    run_test(async {
        let link = link_to_echo_server().await;
        let mut open = connect(&link).await.expect("accepted");
        exchange(&mut open).await.expect("the bytes pass");
        link.set_fault(Fault::Refuse);
        while connect(&link).await.is_ok() {
            tokio::task::yield_now().await;
        }
        assert_eq!(connect(&link).await.map(drop).map_err(|e| e.kind()), Err(ErrorKind::ConnectionRefused));
        assert_eq!(&exchange(&mut open).await.expect("the open connection is not affected"), b"word");
        link.set_fault(Fault::Reset);
        let broken = open.read(&mut [0; 1]).await.map_err(|e| e.kind());
        assert_eq!(broken, Err(ErrorKind::ConnectionReset));
        // While the target does not listen, connections are refused without any fault.
        link.set_fault(Fault::None);
        link.set_target_listening(false);
        while connect(&link).await.is_ok() {
            tokio::task::yield_now().await;
        }
        assert_eq!(connect(&link).await.map(drop).map_err(|e| e.kind()), Err(ErrorKind::ConnectionRefused));
    });
}

#[test]
fn a_delay_applies_to_both_directions_and_a_slow_link_limits_throughput() {
    run_test(async {
        let link = link_to_echo_server().await;
        let mut open = connect(&link).await.expect("accepted");
        link.set_fault(Fault::Delay(Duration::from_millis(100)));
        let started = Instant::now();
        exchange(&mut open).await.expect("the bytes pass");
        assert!(started.elapsed() >= Duration::from_millis(200), "{:?}", started.elapsed());
        link.set_fault(Fault::Slow(1_000));
        let started = Instant::now();
        open.write_all(&[7; 300]).await.expect("written");
        open.read_exact(&mut [0; 300]).await.expect("received");
        // 300 bytes take 0.3 s at 1,000 bytes per second. They come back while the rest is still sent, so the
        // way back adds only the time of the last piece.
        assert!(started.elapsed() >= Duration::from_millis(250), "{:?}", started.elapsed());
    });
}

#[test]
fn a_link_tells_a_target_that_never_accepted_from_a_broken_connection() {
    run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let link =
            TcpProxy::start(0, listener.local_addr().expect("the local address"), ConnectionLinks::default());
        let link = link.expect("a link");
        drop(listener);
        let mut stream = connect(&link).await.expect("accepted by the link");
        assert!(exchange(&mut stream).await.is_err());
        assert!(link.take_unaccepted(stream.local_addr().expect("the local address")));
    });
}

#[test]
fn datagrams_are_lost_by_direction_and_at_random() {
    run_test(async {
        let ends = [
            UdpSocket::bind("127.0.0.1:0").await.expect("a port"),
            UdpSocket::bind("127.0.0.1:0").await.expect("a port"),
        ];
        let addresses = [0, 1].map(|end: usize| ends[end].local_addr().expect("the local address"));
        let link = UdpProxy::start(addresses, 7).await.expect("a link");
        let [from_first, from_second] = [0, 1].map(|end| link.address(end).expect("the local address"));
        let mut read = [0; 8];
        ends[0].send_to(b"ping", from_first).await.expect("sent");
        let (length, _) = ends[1].recv_from(&mut read).await.expect("received");
        assert_eq!(&read[..length], b"ping");
        link.set_fault(Fault::LoseFromClient);
        ends[0].send_to(b"lost", from_first).await.expect("sent");
        ends[1].send_to(b"pong", from_second).await.expect("sent");
        let (length, _) = ends[0].recv_from(&mut read).await.expect("received");
        assert_eq!(&read[..length], b"pong");
        assert!(
            timeout(SILENCE, ends[1].recv_from(&mut read)).await.is_err(),
            "datagrams from the first end are lost"
        );
        link.set_fault(Fault::None);
        link.set_loss(0.3);
        let before = link.forwarded()[0];
        for _ in 0..200 {
            ends[0].send_to(b"some", from_first).await.expect("sent");
            // One at a time, so that no buffer overflows.
            let _ = timeout(Duration::from_millis(5), ends[1].recv_from(&mut read)).await;
        }
        let received = link.forwarded()[0] - before;
        assert!((110..=170).contains(&received), "{received} of 200 datagrams arrived at a loss of 30%");
    });
}
