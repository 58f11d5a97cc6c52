//! TCP connections between instances, which carry length-prefixed frames.
//!
//! A replica opens a connection to each other replica, a follower to the replica that it follows. A replica
//! sends frames to another one over the connection that it opened itself. If the queue of a connection is
//! full, frames are dropped, so that a slow reader does not block the event loop; the consensus protocol
//! sends again what is still needed.

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, Stream};
use hillstall_consensus::frame::{Frame, MAX_FRAME_BYTES};
use hillstall_lease::Instance;
use hillstall_socket_io::SocketStream;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{channel, unbounded_channel, Receiver, Sender, UnboundedSender};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum number of frames that wait to be written to one connection.
const QUEUE_CAPACITY: usize = 512;
/// Timeout for opening a connection, and for its first frame, [`Frame::Hello`].
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause before another attempt to open a connection, or to accept one after an error.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for writing one frame; after it the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of connections that other instances may have open to this replica.
const MAX_INBOUND_CONNECTIONS: usize = 2_048;

type FramedStream = Framed<SocketStream<TcpStream>, LengthDelimitedCodec>;

/// An event on a connection, for the event loop.
pub enum ConnectionEvent {
    /// A replica sent a frame, over a connection that either side opened.
    ReplicaFrame {
        /// The replica's slot.
        slot: usize,
        /// The received frame.
        frame: Frame,
    },
    /// A follower sent a frame over a connection that it opened.
    InstanceFrame {
        /// The follower.
        instance: Instance,
        /// The connection's number, which is unique among the connections accepted by this process.
        connection: u64,
        /// The received frame.
        frame: Frame,
    },
    /// A follower has opened a connection.
    Attached {
        /// The follower.
        instance: Instance,
        /// The connection's number, which is unique among the connections accepted by this process.
        connection: u64,
        /// The queue of encoded frames to send to the follower.
        queue: Sender<Bytes>,
    },
    /// A follower's connection is closed.
    Detached {
        /// The follower.
        instance: Instance,
        /// The connection's number, which is unique among the connections accepted by this process.
        connection: u64,
    },
    /// A connection that this instance opened to a replica has been established or closed.
    ReplicaConnection {
        /// The replica's slot.
        slot: usize,
        /// Whether the connection is established.
        is_up: bool,
    },
    /// A frame can't be decoded, or reading from a connection failed.
    Unreadable {
        /// The error of the decoder or of the operating system.
        error: String,
    },
    /// A connection was closed right after it was accepted: its source is not allowed, or the limit is
    /// reached.
    Refused {
        /// The address that it came from.
        source: IpAddr,
    },
}

/// What this instance says about itself in [`Frame::Hello`].
#[derive(Clone)]
pub struct LocalIdentity {
    /// The name of its fleet; other instances reject connections from a fleet of another name.
    pub fleet: String,
    /// The instance's rank and incarnation.
    pub instance: Instance,
    /// The replica's slot; `None` for a follower.
    pub slot: Option<usize>,
}

impl LocalIdentity {
    fn hello(&self) -> Bytes {
        let fleet = self.fleet.clone();
        Frame::Hello { fleet, instance: self.instance, replica: self.slot }.encode().into()
    }
}

fn framed(stream: TcpStream) -> FramedStream {
    // Fails only on a closed connection, which the first read or write reports as well.
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(SocketStream(stream), codec)
}

/// A connection that this instance opens to a replica, and opens again whenever it breaks. Dropping it closes
/// it.
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
            // Frames that were queued before the connection was established are outdated.
            while outgoing.try_recv().is_ok() {}
            let mut stream = framed(stream);
            let hello_sent = timeout(HANDSHAKE_TIMEOUT, stream.send(identity.hello())).await;
            if matches!(hello_sent, Ok(Ok(()))) {
                // Sending fails only once the event loop has ended; this task ends with it.
                let _ = events.send(ConnectionEvent::ReplicaConnection { slot, is_up: true });
                let to_event = |frame| ConnectionEvent::ReplicaFrame { slot, frame };
                exchange_frames(&mut stream, &mut outgoing, to_event, &events).await;
                let _ = events.send(ConnectionEvent::ReplicaConnection { slot, is_up: false });
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Sends queued frames and passes received ones on as events, until the connection ends or the event loop has
/// ended.
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

/// Accepts connections from allowed sources, and serves each in its own task. Does not return.
pub async fn accept(
    listener: TcpListener,
    identity: LocalIdentity,
    is_allowed: impl Fn(IpAddr) -> bool + 'static,
    events: UnboundedSender<ConnectionEvent>,
) {
    let (closed_sender, mut closed) = unbounded_channel::<()>();
    let mut open_connections = 0;
    let mut connection = 0;
    loop {
        let Ok((stream, source)) = listener.accept().await else {
            // For example, out of file descriptors. Open connections continue.
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
        let (identity, events, closed_sender) = (identity.clone(), events.clone(), closed_sender.clone());
        spawn_local(async move {
            serve(stream, identity, connection, &events).await;
            let _ = closed_sender.send(());
        });
    }
}

/// Serves a connection that another instance opened, once its first frame has named the same fleet.
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
        // The instance belongs to another fleet, or its first frame is not `Hello`.
        Ok(_) => return,
        Err(error) => {
            let _ = events.send(unreadable(error));
            return;
        }
    };
    // A sender is kept until the end, as `exchange_frames` returns once all senders of the queue are dropped.
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
