//! The log: text for people or JSON lines for programs, on standard error. The thread that serves requests never
//! waits for a reader: lines go to a bounded queue, and what does not fit there is dropped and counted.

use std::time::Duration;
use tracing::Level;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that the queue holds. A line is some hundred bytes.
const MAX_QUEUED_LINES: usize = 1_024;

/// Between two reports of dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// The log of the process. Dropping it writes what is queued, unless nobody reads.
pub struct Logs {
    _worker: WorkerGuard,
    dropped: ErrorCounter,
}

impl Logs {
    /// Starts the log of this process in a format (`text` or `json`) and from a level on. It can be started once.
    pub fn start(format: &str, level: &str) -> Logs {
        let level: Level = level.parse().unwrap_or(Level::INFO);
        let builder = NonBlockingBuilder::default().buffered_lines_limit(MAX_QUEUED_LINES).lossy(true);
        let (writer, worker) = builder.thread_name("log").finish(std::io::stderr());
        let dropped = writer.error_counter();
        let subscriber = tracing_subscriber::fmt().with_max_level(level).with_ansi(false);
        // A second start keeps the first log.
        let _ = match format {
            "json" => subscriber.json().flatten_event(true).with_writer(writer).try_init(),
            _ => subscriber.with_writer(writer).try_init(),
        };
        Logs { _worker: worker, dropped }
    }

    /// The counter of lines that were dropped because nobody read them.
    pub fn dropped(&self) -> ErrorCounter {
        self.dropped.clone()
    }
}

/// Logs from time to time how many lines were dropped, once somebody reads again.
pub async fn report_dropped_lines(dropped: ErrorCounter) {
    let mut reported = 0;
    loop {
        tokio::time::sleep(DROP_REPORT_INTERVAL).await;
        let lines = dropped.dropped_lines();
        if lines > reported {
            tracing::warn!(lines = lines - reported, "lines of the log were dropped unread");
            reported = lines;
        }
    }
}
