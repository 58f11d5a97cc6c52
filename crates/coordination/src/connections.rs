//! Connections between instances.
//!
//! Each instance opens connections to the replicas that it needs; what one replica sends another goes over the connection
//! that the sender opened. Frames are dropped where a queue is full, so that a slow reader holds nobody up: whatever
//! matters is requested again.

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, Stream};
use hillstall_consensus::frame::{Frame, MAX_FRAME_BYTES};
use hillstall_lease::Instance;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{channel, unbounded_channel, Receiver, Sender, UnboundedSender};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Frames that may wait for one connection.
const QUEUE_CAPACITY: usize = 512;
/// Longest wait for a connection to open, and for the frame that introduces its opener.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause between two attempts to open a connection, or to accept one.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// A connection on which one frame could not be written for so long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most connections that others may have open to this replica.
const MAX_INBOUND_CONNECTIONS: usize = 2_048;

type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// What happens on connections.
pub enum ConnectionEvent {
    /// A replica sent a frame, over whichever connection.
    ReplicaFrame {
        /// The replica's slot.
        slot: usize,
        /// What it sent.
        frame: Frame,
    },
    /// A follower sent a frame over a connection that it opened.
    InstanceFrame {
        /// The follower.
        instance: Instance,
        /// The connection's number.
        connection: u64,
        /// What it sent.
        frame: Frame,
    },
    /// A follower has opened a connection.
    Attached {
        /// The follower.
        instance: Instance,
        /// The connection's number.
        connection: u64,
        /// Takes encoded frames for the follower.
        queue: Sender<Bytes>,
    },
    /// A follower's connection is closed.
    Detached {
        /// The follower.
        instance: Instance,
        /// The connection's number.
        connection: u64,
    },
    /// The connection that this instance opened to a replica is up, or is closed.
    ReplicaConnection {
        /// The replica's slot.
        slot: usize,
        /// Whether it is up.
        is_up: bool,
    },
    /// A connection carried something that can't be read.
    Unreadable {
        /// Why it can't.
        error: String,
    },
    /// A connection was refused: its source may not connect, or there are too many.
    Refused {
        /// Where it came from.
        source: IpAddr,
    },
}

/// How this instance introduces itself.
#[derive(Clone)]
pub struct LocalIdentity {
    /// The name of its fleet.
    pub fleet: String,
    /// Itself.
    pub instance: Instance,
    /// Its slot, if it is a replica.
    pub slot: Option<usize>,
}

impl LocalIdentity {
    fn hello(&self) -> Bytes {
        let fleet = self.fleet.clone();
        Frame::Hello { fleet, instance: self.instance, replica: self.slot }.encode().into()
    }
}

fn framed(stream: TcpStream) -> FramedStream {
    // Fails only on a closed connection, which the first read shows.
    let _ = stream.set_nodelay(true);
    Framed::new(stream, LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec())
}

/// A connection that is opened here, and opened again whenever it breaks. Dropping it closes it.
pub struct OutboundConnection {
    queue: Sender<Bytes>,
    task: JoinHandle<()>,
}

impl OutboundConnection {
    /// Starts to connect to a replica, on the current [`tokio::task::LocalSet`].
    pub fn open(
        slot: usize,
        address: SocketAddr,
        identity: LocalIdentity,
        events: UnboundedSender<ConnectionEvent>,
    ) -> OutboundConnection {
        let (queue, outgoing) = channel(QUEUE_CAPACITY);
        let task = spawn_local(keep_connected(slot, address, identity, events, outgoing));
        OutboundConnection { queue, task }
    }

    /// Queues an encoded frame; it is dropped if the queue is full.
    pub fn send(&self, frame: Bytes) {
        let _ = self.queue.try_send(frame);
    }
}

impl Drop for OutboundConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn keep_connected(
    slot: usize,
    address: SocketAddr,
    identity: LocalIdentity,
    events: UnboundedSender<ConnectionEvent>,
    mut outgoing: Receiver<Bytes>,
) {
    loop {
        if let Ok(Ok(stream)) = timeout(HANDSHAKE_TIMEOUT, TcpStream::connect(address)).await {
            // What was queued for the connection before is outdated.
            while outgoing.try_recv().is_ok() {}
            let mut stream = framed(stream);
            let greeting = timeout(HANDSHAKE_TIMEOUT, stream.send(identity.hello())).await;
            if matches!(greeting, Ok(Ok(()))) {
                // Sending fails once the event loop has ended, and with it this task.
                let _ = events.send(ConnectionEvent::ReplicaConnection { slot, is_up: true });
                let to_event = |frame| ConnectionEvent::ReplicaFrame { slot, frame };
                exchange_frames(&mut stream, &mut outgoing, to_event, &events).await;
                let _ = events.send(ConnectionEvent::ReplicaConnection { slot, is_up: false });
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Sends and receives frames until the connection ends.
async fn exchange_frames(
    stream: &mut FramedStream,
    outgoing: &mut Receiver<Bytes>,
    to_event: impl Fn(Frame) -> ConnectionEvent,
    events: &UnboundedSender<ConnectionEvent>,
) {
    loop {
        tokio::select! {
            received = next_frame(stream) => match received {
                Some(Ok(bytes)) => {
                    let event = Frame::decode(&bytes).map_or_else(unreadable, &to_event);
                    if events.send(event).is_err() {
                        return;
                    }
                }
                Some(Err(error)) => {
                    let _ = events.send(unreadable(error));
                    return;
                }
                None => return,
            },
            frame = outgoing.recv() => {
                let Some(frame) = frame else { return };
                if !matches!(timeout(WRITE_TIMEOUT, stream.send(frame)).await, Ok(Ok(()))) {
                    return;
                }
            }
        }
    }
}

fn unreadable(error: impl std::error::Error) -> ConnectionEvent {
    ConnectionEvent::Unreadable { error: error.to_string() }
}

async fn next_frame(stream: &mut FramedStream) -> Option<std::io::Result<BytesMut>> {
    std::future::poll_fn(|context| Stream::poll_next(Pin::new(&mut *stream), context)).await
}

/// Accepts connections for ever, from sources that `is_allowed` admits.
pub async fn accept(
    listener: TcpListener,
    identity: LocalIdentity,
    is_allowed: impl Fn(IpAddr) -> bool + 'static,
    events: UnboundedSender<ConnectionEvent>,
) {
    let (close_sender, mut closed) = unbounded_channel::<()>();
    let mut open_connections = 0;
    let mut connection = 0;
    loop {
        let Ok((stream, source)) = listener.accept().await else {
            // Out of file descriptors: connections that are open go on.
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        while closed.try_recv().is_ok() {
            open_connections -= 1;
        }
        if !is_allowed(source.ip()) || open_connections >= MAX_INBOUND_CONNECTIONS {
            let _ = events.send(ConnectionEvent::Refused { source: source.ip() });
            continue;
        }
        open_connections += 1;
        connection += 1;
        let (identity, events, close_sender) = (identity.clone(), events.clone(), close_sender.clone());
        spawn_local(async move {
            serve(stream, identity, connection, &events).await;
            let _ = close_sender.send(());
        });
    }
}

/// Serves a connection that another instance has opened.
async fn serve(
    stream: TcpStream,
    identity: LocalIdentity,
    connection: u64,
    events: &UnboundedSender<ConnectionEvent>,
) {
    let mut stream = framed(stream);
    let first = timeout(HANDSHAKE_TIMEOUT, next_frame(&mut stream)).await;
    let Ok(Some(Ok(bytes))) = first else { return };
    let (instance, replica) = match Frame::decode(&bytes) {
        Ok(Frame::Hello { fleet, instance, replica }) if fleet == identity.fleet => (instance, replica),
        // Another fleet, or no introduction.
        Ok(_) => return,
        Err(error) => {
            let _ = events.send(unreadable(error));
            return;
        }
    };
    // The sender is kept to the end: a closed queue would end the exchange.
    let (queue, mut outgoing) = channel(QUEUE_CAPACITY);
    if let Some(slot) = replica {
        let to_event = |frame| ConnectionEvent::ReplicaFrame { slot, frame };
        exchange_frames(&mut stream, &mut outgoing, to_event, events).await;
    } else {
        let _ = events.send(ConnectionEvent::Attached { instance, connection, queue: queue.clone() });
        let to_event = |frame| ConnectionEvent::InstanceFrame { instance, connection, frame };
        exchange_frames(&mut stream, &mut outgoing, to_event, events).await;
        let _ = events.send(ConnectionEvent::Detached { instance, connection });
    }
    drop(queue);
}
