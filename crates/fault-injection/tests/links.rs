//! Each fault of a link, on real sockets: what passes, what does not, and what each side hears of it.

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

/// Long enough to say that nothing comes: far above a round trip on loopback.
const NOTHING: Duration = Duration::from_millis(300);
/// Far above anything seen, so that a hang fails.
const PATIENCE: Duration = Duration::from_secs(20);

fn on_loopback(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(PATIENCE, test).await.expect("nothing hangs");
    });
}

/// A link to a server that says everything back.
async fn echo() -> Rc<TcpProxy> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let target = listener.local_addr().expect("its address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let (mut from, mut to) = stream.split();
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    TcpProxy::start(0, target, ConnectionLinks::default()).expect("a relay")
}

async fn connect(link: &TcpProxy) -> std::io::Result<TcpStream> {
    TcpStream::connect(link.address()).await
}

/// Says a word and gives what comes back.
async fn say(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    stream.write_all(b"word").await?;
    let mut back = [0; 4];
    stream.read_exact(&mut back).await?;
    Ok(back)
}

#[test]
fn a_silent_link_keeps_what_is_open_and_takes_nothing_new_until_it_is_sound() {
    on_loopback(async {
        let link = echo().await;
        let mut open = connect(&link).await.expect("it takes");
        assert_eq!(&say(&mut open).await.expect("it passes"), b"word");
        link.set_fault(Fault::Silent);
        let before = link.transferred();
        assert!(timeout(NOTHING, say(&mut open)).await.is_err(), "nothing comes, and nobody says so");
        assert!(timeout(NOTHING, connect(&link)).await.is_err(), "a new one never comes up");
        assert_eq!(link.transferred().to_target, before.to_target);
        link.set_fault(Fault::None);
        let mut held = [0; 4];
        open.read_exact(&mut held).await.expect("what was held comes now");
        assert_eq!(&say(&mut connect(&link).await.expect("it takes")).await.expect("it passes"), b"word");
    });
}

#[test]
fn a_direction_alone_is_lost() {
    on_loopback(async {
        for (fault, reaches) in [(Fault::LoseFromClient, false), (Fault::LoseFromTarget, true)] {
            let link = echo().await;
            let mut open = connect(&link).await.expect("it takes");
            say(&mut open).await.expect("it passes");
            link.set_fault(fault);
            let before = link.transferred();
            assert!(timeout(NOTHING, say(&mut open)).await.is_err(), "no answer by {fault:?}");
            assert_eq!(link.transferred().to_target > before.to_target, reaches, "{fault:?}");
            assert_eq!(link.transferred().to_client, before.to_client, "{fault:?}");
        }
    });
}

#[test]
fn a_reset_breaks_what_is_open_and_a_refusal_does_not() {
    on_loopback(async {
        let link = echo().await;
        let mut open = connect(&link).await.expect("it takes");
        say(&mut open).await.expect("it passes");
        link.set_fault(Fault::Refuse);
        while connect(&link).await.is_ok() {
            tokio::task::yield_now().await;
        }
        assert_eq!(connect(&link).await.map(drop).map_err(|e| e.kind()), Err(ErrorKind::ConnectionRefused));
        assert_eq!(&say(&mut open).await.expect("what is open goes on"), b"word");
        link.set_fault(Fault::Reset);
        let broken = open.read(&mut [0; 1]).await.map_err(|e| e.kind());
        assert_eq!(broken, Err(ErrorKind::ConnectionReset));
        // A target that is not up refuses, whatever the fault is.
        link.set_fault(Fault::None);
        link.set_target_listening(false);
        while connect(&link).await.is_ok() {
            tokio::task::yield_now().await;
        }
        assert_eq!(connect(&link).await.map(drop).map_err(|e| e.kind()), Err(ErrorKind::ConnectionRefused));
    });
}

#[test]
fn delays_add_up_over_both_directions_and_a_slow_link_takes_its_time() {
    on_loopback(async {
        let link = echo().await;
        let mut open = connect(&link).await.expect("it takes");
        link.set_fault(Fault::Delay(Duration::from_millis(100)));
        let begun = Instant::now();
        say(&mut open).await.expect("it passes");
        assert!(begun.elapsed() >= Duration::from_millis(200), "{:?}", begun.elapsed());
        link.set_fault(Fault::Slow(1_000));
        let begun = Instant::now();
        open.write_all(&[7; 300]).await.expect("it is taken");
        open.read_exact(&mut [0; 300]).await.expect("it comes");
        // 300 bytes at 1,000 a second, and the last of them back again.
        assert!(begun.elapsed() >= Duration::from_millis(250), "{:?}", begun.elapsed());
    });
}

#[test]
fn a_target_that_is_gone_is_told_apart_from_one_that_broke() {
    on_loopback(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let link =
            TcpProxy::start(0, listener.local_addr().expect("its address"), ConnectionLinks::default());
        let link = link.expect("a relay");
        drop(listener);
        let mut stream = connect(&link).await.expect("the relay takes it");
        assert!(say(&mut stream).await.is_err());
        assert!(link.take_unaccepted(stream.local_addr().expect("its own address")));
    });
}

#[test]
fn datagrams_are_lost_by_direction_and_by_chance() {
    on_loopback(async {
        let ends = [
            UdpSocket::bind("127.0.0.1:0").await.expect("a port"),
            UdpSocket::bind("127.0.0.1:0").await.expect("a port"),
        ];
        let addresses = [0, 1].map(|end: usize| ends[end].local_addr().expect("its address"));
        let link = UdpProxy::start(addresses, 7).await.expect("a relay");
        let [from_first, from_second] = [0, 1].map(|end| link.address(end).expect("its address"));
        let mut read = [0; 8];
        ends[0].send_to(b"ping", from_first).await.expect("it is sent");
        let (length, _) = ends[1].recv_from(&mut read).await.expect("it comes");
        assert_eq!(&read[..length], b"ping");
        link.set_fault(Fault::LoseFromClient);
        ends[0].send_to(b"lost", from_first).await.expect("it is sent");
        ends[1].send_to(b"pong", from_second).await.expect("it is sent");
        let (length, _) = ends[0].recv_from(&mut read).await.expect("it comes");
        assert_eq!(&read[..length], b"pong");
        assert!(timeout(NOTHING, ends[1].recv_from(&mut read)).await.is_err(), "the other direction is lost");
        link.set_fault(Fault::None);
        link.set_loss(0.3);
        let before = link.forwarded()[0];
        for _ in 0..200 {
            ends[0].send_to(b"some", from_first).await.expect("it is sent");
            // One at a time, so that no buffer overflows.
            let _ = timeout(Duration::from_millis(5), ends[1].recv_from(&mut read)).await;
        }
        let came = link.forwarded()[0] - before;
        assert!((110..=170).contains(&came), "{came} of 200 came at a loss of 30%");
    });
}
