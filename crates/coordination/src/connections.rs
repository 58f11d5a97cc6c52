//! Connections between copies. Each copy opens its own to the keepers that it needs; what a keeper sends another goes over
//! the one that it opened itself. A queue that is full loses frames: whoever reads slowly holds up nobody, and all that
//! matters is asked for again.

use bytes::Bytes;
use futures_util::SinkExt;
use hillstall_consensus::frame::{Frame, MAX_FRAME_BYTES};
use hillstall_lease::Instance;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{channel, unbounded_channel, Receiver, Sender, UnboundedSender};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Frames that may wait for one connection.
const QUEUE: usize = 512;
/// Longest wait for a connection, and for the frame that says who opened one.
const OPEN_WITHIN: Duration = Duration::from_millis(800);
/// Between two tries.
const AGAIN: Duration = Duration::from_millis(100);
/// A connection over which nothing could be written for so long is given up.
const WRITE_WITHIN: Duration = Duration::from_secs(5);
/// Most connections that others may have open here.
const OPEN_MOST: usize = 2_048;

/// What happens on connections.
pub enum ConnectionEvent {
    /// A keeper sent a frame: over a connection opened here, or over one that it opened.
    Keeper(usize, Frame),
    /// Another copy did, over the connection of this number.
    Copy(Instance, u64, Frame),
    /// A copy has connected.
    Attached(Instance, u64, Sender<Bytes>),
    /// Its connection is gone.
    Detached(Instance, u64),
    /// The connection to a keeper is up, or is gone.
    Up(usize, bool),
    /// Something that can't be read, and from whom.
    Unreadable(String),
}

/// Who opens a connection.
#[derive(Clone)]
pub struct LocalIdentity {
    /// Its fleet.
    pub fleet: String,
    /// Itself.
    pub copy: Instance,
    /// Its slot.
    pub keeper: Option<usize>,
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    // Fails only on a stream that is dead, which the first read tells.
    let _ = stream.set_nodelay(true);
    Framed::new(stream, LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec())
}

/// A connection that is opened here, and opened again whenever it breaks. Dropping it closes it.
pub struct OutboundConnection {
    queue: Sender<Bytes>,
    task: JoinHandle<()>,
}

impl OutboundConnection {
    /// Opens one to a keeper.
    pub fn open(
        slot: usize,
        address: SocketAddr,
        own: LocalIdentity,
        tell: UnboundedSender<ConnectionEvent>,
    ) -> OutboundConnection {
        let (queue, waiting) = channel(QUEUE);
        OutboundConnection { queue, task: spawn_local(keep_open(slot, address, own, tell, waiting)) }
    }

    /// Sends a frame, or loses it.
    pub fn send(&self, frame: Bytes) {
        let _ = self.queue.try_send(frame);
    }
}

impl Drop for OutboundConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn keep_open(
    slot: usize,
    address: SocketAddr,
    own: LocalIdentity,
    tell: UnboundedSender<ConnectionEvent>,
    mut waiting: Receiver<Bytes>,
) {
    loop {
        if let Ok(Ok(stream)) = timeout(OPEN_WITHIN, TcpStream::connect(address)).await {
            // What was meant for the connection before is of no use to this one.
            while waiting.try_recv().is_ok() {}
            let LocalIdentity { fleet, copy, keeper } = own.clone();
            let mut wire = framed(stream);
            let hello = Frame::Hello { fleet, instance: copy, replica: keeper }.encode();
            if matches!(timeout(OPEN_WITHIN, wire.send(Bytes::from(hello))).await, Ok(Ok(()))) {
                // The loop has ended once nobody hears.
                let _ = tell.send(ConnectionEvent::Up(slot, true));
                carry(&mut wire, &mut waiting, |frame| ConnectionEvent::Keeper(slot, frame), &tell).await;
                let _ = tell.send(ConnectionEvent::Up(slot, false));
            }
        }
        sleep(AGAIN).await;
    }
}

/// Carries frames both ways until the connection ends.
async fn carry(
    wire: &mut Framed<TcpStream, LengthDelimitedCodec>,
    waiting: &mut Receiver<Bytes>,
    heard: impl Fn(Frame) -> ConnectionEvent,
    tell: &UnboundedSender<ConnectionEvent>,
) {
    loop {
        tokio::select! {
            read = next(wire) => match read {
                Some(Ok(bytes)) => {
                    let told = match Frame::decode(&bytes) {
                        Ok(frame) => heard(frame),
                        Err(why) => ConnectionEvent::Unreadable(why.to_string()),
                    };
                    if tell.send(told).is_err() {
                        return;
                    }
                }
                Some(Err(why)) => {
                    let _ = tell.send(ConnectionEvent::Unreadable(why.to_string()));
                    return;
                }
                None => return,
            },
            frame = waiting.recv() => {
                let Some(frame) = frame else { return };
                if !matches!(timeout(WRITE_WITHIN, wire.send(frame)).await, Ok(Ok(()))) {
                    return;
                }
            }
        }
    }
}

async fn next(
    wire: &mut Framed<TcpStream, LengthDelimitedCodec>,
) -> Option<std::io::Result<bytes::BytesMut>> {
    std::future::poll_fn(|cx| futures_util::Stream::poll_next(std::pin::Pin::new(&mut *wire), cx)).await
}

/// Takes connections for ever, from those that may open one.
pub async fn accept(
    listener: TcpListener,
    own: LocalIdentity,
    may: impl Fn(IpAddr) -> bool + 'static,
    tell: UnboundedSender<ConnectionEvent>,
) {
    let mut number = 0;
    let (closed, mut closings) = unbounded_channel::<()>();
    let mut open = 0;
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(_) => {
                // Out of descriptors: those that are open go on.
                sleep(AGAIN).await;
                continue;
            }
        };
        while closings.try_recv().is_ok() {
            open -= 1;
        }
        if !may(from.ip()) || open >= OPEN_MOST {
            let _ = tell
                .send(ConnectionEvent::Unreadable(format!("a connection from {} is not taken", from.ip())));
            continue;
        }
        open += 1;
        number += 1;
        let (own, tell, closed) = (own.clone(), tell.clone(), closed.clone());
        spawn_local(async move {
            answer(stream, own, number, &tell).await;
            let _ = closed.send(());
        });
    }
}

async fn answer(stream: TcpStream, own: LocalIdentity, number: u64, tell: &UnboundedSender<ConnectionEvent>) {
    let mut wire = framed(stream);
    let first = timeout(OPEN_WITHIN, next(&mut wire)).await;
    let Ok(Some(Ok(bytes))) = first else { return };
    let (copy, keeper) = match Frame::decode(&bytes) {
        Ok(Frame::Hello { fleet, instance: copy, replica: keeper }) if fleet == own.fleet => (copy, keeper),
        // Of another fleet, or no greeting.
        Ok(_) => return,
        Err(why) => {
            let _ = tell.send(ConnectionEvent::Unreadable(why.to_string()));
            return;
        }
    };
    let (queue, mut waiting) = channel(QUEUE);
    match keeper {
        Some(slot) => {
            carry(&mut wire, &mut waiting, |frame| ConnectionEvent::Keeper(slot, frame), tell).await
        }
        None => {
            let _ = tell.send(ConnectionEvent::Attached(copy, number, queue.clone()));
            carry(&mut wire, &mut waiting, |frame| ConnectionEvent::Copy(copy, number, frame), tell).await;
            let _ = tell.send(ConnectionEvent::Detached(copy, number));
        }
    }
    drop(queue);
}
