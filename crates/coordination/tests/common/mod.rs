//! A follower on a real socket, with the test as its only replica.

use hillstall_consensus::frame::Frame;
use hillstall_coordination::{settings, start, CoordinationHandle, InstanceLocation};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SNAPSHOT: &str = include_str!("../../../consensus/tests/fixtures/snapshot.txt");
/// The follower's number in the fleet.
pub const RANK: u32 = 7;
/// The index of the snapshot.
pub const INDEX: u64 = 136;
/// Longest wait for anything; only a failure takes as long.
const PATIENCE: Duration = Duration::from_secs(20);
/// Shorter than the silence after which a follower turns to another replica.
const BEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The bytes of a text of hexadecimal digits.
pub fn bytes_of(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "half a byte: {hex}");
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// A connection that the follower has opened.
pub struct Connection {
    reader: TcpStream,
    /// The frame that is written now is written whole.
    writer: Arc<Mutex<TcpStream>>,
}

/// Writes a frame behind its length.
fn write_frame(writer: &Mutex<TcpStream>, frame: &Frame) -> std::io::Result<()> {
    let bytes = frame.encode();
    let length = u32::try_from(bytes.len()).expect("it is short").to_be_bytes();
    writer.lock().expect("no writer has failed").write_all(&[&length, bytes.as_slice()].concat())
}

impl Connection {
    fn accept(listener: &TcpListener) -> Connection {
        let (reader, _) = listener.accept().expect("it connects");
        reader.set_read_timeout(Some(PATIENCE)).expect("it is set");
        let writer = Arc::new(Mutex::new(reader.try_clone().expect("it is cloned")));
        Connection { reader, writer }
    }

    /// The next frame: four bytes of length, highest first, then the frame.
    fn receive(&mut self) -> Vec<u8> {
        let mut length = [0; 4];
        self.reader.read_exact(&mut length).expect("a length comes");
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        self.reader.read_exact(&mut frame).expect("a frame comes");
        frame
    }

    /// Sends a frame.
    pub fn send(&mut self, frame: &Frame) {
        write_frame(&self.writer, frame).expect("it is sent");
    }

    /// Waits for a certain frame; each one on the way is written as it was read.
    pub fn receive_until<T>(&mut self, wanted: impl Fn(Frame) -> Option<T>) -> (Vec<u8>, T) {
        loop {
            let bytes = self.receive();
            let frame = Frame::decode(&bytes).expect("it is a frame");
            assert_eq!(frame.encode(), bytes, "{frame:?}");
            if let Some(found) = wanted(frame) {
                return (bytes, found);
            }
        }
    }

    /// Keeps the follower from turning away, until the connection ends.
    fn send_beats(&self) {
        let writer = Arc::clone(&self.writer);
        std::thread::spawn(move || {
            while write_frame(&writer, &Frame::Heartbeat(INDEX)).is_ok() {
                std::thread::sleep(BEAT_INTERVAL);
            }
        });
    }
}

/// Starts a follower and takes its connection, up to where it has the state.
pub fn follower() -> (CoordinationHandle, Connection, Vec<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let text = format!("[fleet]\nname = \"shop\"\nkeepers = [\"{address}\"]\n");
    let settings = settings::read(&text).expect("it is read").expect("there is one");
    let sites = ["east", "north", "south", "west"].map(str::to_owned).to_vec();
    let place = InstanceLocation { rank: RANK, site: "north".into(), sites };
    let (handle, _hints) = start(settings, place).expect("it starts");
    let mut connection = Connection::accept(&listener);
    let hello = connection.receive();
    connection.send(&Frame::State(bytes_of(SNAPSHOT.trim_end())));
    connection.send_beats();
    (handle, connection, hello)
}
