//! The log: text for people or JSON lines for programs, on standard error. The one thread that carries calls
//! never waits for a reader: lines go to a bounded queue, and what does not fit there is dropped and counted.

use serde::{Deserialize, Serialize};
use tracing::Level;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::writer::MakeWriterExt;

/// Lines that may wait for the reader of the log. A line is some hundred bytes.
const QUEUE_LINES: usize = 1_024;

/// The form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One line of text a record.
    #[default]
    Text,
    /// One JSON object a record.
    Json,
}

/// The least important records that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "lowercase")]
pub enum Verbosity {
    /// What needs an operator.
    Error,
    /// What may soon.
    Warn,
    /// What happens to servers and gates.
    #[default]
    Info,
    /// One record a call as well.
    Debug,
}

impl From<Verbosity> for Level {
    fn from(verbosity: Verbosity) -> Level {
        match verbosity {
            Verbosity::Error => Level::ERROR,
            Verbosity::Warn => Level::WARN,
            Verbosity::Info => Level::INFO,
            Verbosity::Debug => Level::DEBUG,
        }
    }
}

/// Keeps the log going; what waits is written when it is dropped, unless nobody reads.
pub struct Logs {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl Logs {
    /// Starts the log of this process. It can be started once.
    pub fn start(format: Format, verbosity: Verbosity) -> Logs {
        let builder = NonBlockingBuilder::default().buffered_lines_limit(QUEUE_LINES).lossy(true);
        let (writer, worker) = builder.thread_name("log").finish(std::io::stderr());
        let dropped = writer.error_counter();
        let writer = writer.with_max_level(verbosity.into());
        let subscriber = tracing_subscriber::fmt().with_max_level(Level::from(verbosity)).with_ansi(false);
        // A second start keeps the first log: only tests of this crate could try.
        let _ = match format {
            Format::Text => subscriber.with_writer(writer).try_init(),
            Format::Json => subscriber.json().flatten_event(true).with_writer(writer).try_init(),
        };
        Logs { _worker: worker, dropped }
    }

    /// Lines dropped since the start, as nobody read them.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}
