//! The log: text for people or JSON lines for programs, on standard error. The one thread that carries calls
//! never waits for a reader: lines go to a bounded queue, and what does not fit there is dropped and counted.

use std::time::Duration;
use tracing::Level;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that may wait for the reader of the log. A line is some hundred bytes.
const QUEUE_LINES: usize = 1_024;

/// How often it is looked whether lines were dropped.
const LOOK: Duration = Duration::from_secs(5);

/// Keeps the log going; what waits is written when it is dropped, unless nobody reads.
pub struct Logs {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl Logs {
    /// Starts the log of this process, in a form (`text` or `json`) and from a level on. It can be started once.
    pub fn start(format: &str, level: &str) -> Logs {
        let level: Level = level.parse().unwrap_or(Level::INFO);
        let builder = NonBlockingBuilder::default().buffered_lines_limit(QUEUE_LINES).lossy(true);
        let (writer, worker) = builder.thread_name("log").finish(std::io::stderr());
        let dropped = writer.error_counter();
        let subscriber = tracing_subscriber::fmt().with_max_level(level).with_ansi(false);
        // A second start keeps the first log: only tests of this crate could try.
        let _ = match format {
            "json" => subscriber.json().flatten_event(true).with_writer(writer).try_init(),
            _ => subscriber.with_writer(writer).try_init(),
        };
        Logs { _worker: worker, dropped }
    }

    /// Counts the lines that were dropped, as nobody read them.
    pub fn dropped(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}

/// Tells from time to time how many lines were dropped, once somebody reads again.
pub async fn tell_of_dropped(dropped: ErrorCounter) {
    let mut told = 0;
    loop {
        tokio::time::sleep(LOOK).await;
        let lines = dropped.dropped_lines();
        if lines > told {
            tracing::warn!(lines = lines - told, "lines of the log were dropped unread");
            told = lines;
        }
    }
}
