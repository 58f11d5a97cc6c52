//! Serves the simulator: reads batch frames from standard input and writes one reply frame for each to
//! standard output, until the input ends.

use hillstall_sim_adapter::host::Host;
use hillstall_sim_adapter::wire::{BatchHeader, FrameError, BATCH_HEADER_SIZE};
use std::fmt;
use std::io::{self, Read, Write};
use std::process::ExitCode;

/// Why the adapter stopped before the end of its input.
#[derive(Debug)]
enum AdapterError {
    Io(io::Error),
    Frame(FrameError),
}

impl fmt::Display for AdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdapterError::Io(error) => error.fmt(f),
            AdapterError::Frame(error) => error.fmt(f),
        }
    }
}

impl From<io::Error> for AdapterError {
    fn from(error: io::Error) -> AdapterError {
        AdapterError::Io(error)
    }
}

impl From<FrameError> for AdapterError {
    fn from(error: FrameError) -> AdapterError {
        AdapterError::Frame(error)
    }
}

/// Fills `buffer` from the input. Returns `false` if the input ended before the first byte.
fn read_exact_or_end(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<bool> {
    let mut filled = 0;
    while filled < buffer.len() {
        match input.read(&mut buffer[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "the input ends inside a frame header",
                ))
            }
            Ok(read) => filled += read,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(true)
}

fn run(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut header = [0; BATCH_HEADER_SIZE];
    let mut body = Vec::new();
    while read_exact_or_end(&mut input, &mut header)? {
        let header = BatchHeader::parse(&header)?;
        let body_size = header.size as usize - BATCH_HEADER_SIZE;
        body.clear();
        // With `take`, the buffer grows with the bytes that arrive, not to the size that the header declares.
        if input.by_ref().take(body_size as u64).read_to_end(&mut body)? < body_size {
            return Err(FrameError::InputEnded.into());
        }
        output.write_all(host.handle_batch(&header, &body)?)?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hillstall-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
