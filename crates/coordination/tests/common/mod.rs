//! Runs a follower on a real socket, with the test in the role of its only replica.

use hillstall_consensus::frame::Frame;
use hillstall_coordination::{settings, start, CoordinationHandle, InstanceLocation};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SNAPSHOT: &str = include_str!("../../../consensus/tests/fixtures/snapshot.txt");
/// The follower's rank.
pub const RANK: u32 = 7;
/// The log index of [`SNAPSHOT`].
pub const INDEX: u64 = 136;
/// Maximum wait for a frame, long enough for a busy machine; only a failing test waits this long.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Shorter than the time without frames after which a follower chooses another replica.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Decodes hexadecimal digits.
pub fn decode_hex(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "odd number of digits: {hex}");
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// The replica's end of a connection that the follower has opened.
pub struct Connection {
    reader: TcpStream,
    /// The mutex keeps the heartbeat thread from writing into the middle of another frame.
    writer: Arc<Mutex<TcpStream>>,
}

/// Writes a frame: its length in four bytes, big-endian, then the frame.
fn write_frame(writer: &Mutex<TcpStream>, frame: &Frame) -> std::io::Result<()> {
    let bytes = frame.encode();
    let length = u32::try_from(bytes.len()).expect("a length below 4 GiB").to_be_bytes();
    writer.lock().expect("the mutex is not poisoned").write_all(&[&length, bytes.as_slice()].concat())
}

impl Connection {
    fn accept(listener: &TcpListener) -> Connection {
        let (reader, _) = listener.accept().expect("a connection of the follower");
        reader.set_read_timeout(Some(READ_TIMEOUT)).expect("the timeout is set");
        let writer = Arc::new(Mutex::new(reader.try_clone().expect("the socket is cloned")));
        Connection { reader, writer }
    }

    /// Reads the next frame.
    fn receive(&mut self) -> Vec<u8> {
        let mut length = [0; 4];
        self.reader.read_exact(&mut length).expect("the length of a frame");
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        self.reader.read_exact(&mut frame).expect("a whole frame");
        frame
    }

    pub fn send(&mut self, frame: &Frame) {
        write_frame(&self.writer, frame).expect("the frame is sent");
    }

    /// Reads frames until `wanted` accepts one; returns its bytes and what `wanted` returned. Checks that
    /// each frame is encoded to the bytes that it was decoded from.
    pub fn receive_until<T>(&mut self, wanted: impl Fn(Frame) -> Option<T>) -> (Vec<u8>, T) {
        loop {
            let bytes = self.receive();
            let frame = Frame::decode(&bytes).expect("a valid frame");
            assert_eq!(frame.encode(), bytes, "{frame:?}");
            if let Some(found) = wanted(frame) {
                return (bytes, found);
            }
        }
    }

    /// Sends heartbeats until the connection ends, so that the follower does not choose another replica.
    fn send_heartbeats(&self) {
        let writer = Arc::clone(&self.writer);
        std::thread::spawn(move || {
            while write_frame(&writer, &Frame::Heartbeat(INDEX)).is_ok() {
                std::thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }
}

/// Starts a follower, accepts its connection and sends it [`SNAPSHOT`]. Returns its handle, the connection
/// and the bytes of its first frame.
pub fn start_follower() -> (CoordinationHandle, Connection, Vec<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let text = format!("[fleet]\nname = \"shop\"\nkeepers = [\"{address}\"]\n");
    let settings = settings::read(&text).expect("a valid section").expect("a section [fleet]");
    let sites = ["east", "north", "south", "west"].map(str::to_owned).to_vec();
    let location = InstanceLocation { rank: RANK, site: "north".into(), sites };
    let (handle, _advisories) = start(settings, location).expect("coordination starts");
    let mut connection = Connection::accept(&listener);
    let hello = connection.receive();
    connection.send(&Frame::State(decode_hex(SNAPSHOT.trim_end())));
    connection.send_heartbeats();
    (handle, connection, hello)
}
