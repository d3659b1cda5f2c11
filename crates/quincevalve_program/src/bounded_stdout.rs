//! Non-blocking log output to standard output.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

use logforth::{Append, Diagnostic, Error, Layout, layout::JsonLayout, record::Record};

/// Maximum number of queued lines, about half a megabyte. Further lines are dropped if the reader has stopped.
const MAX_QUEUED_LINES: usize = 2_048;
/// Time for which lines are collected before they are written together: a system call for each line would cost more
/// than the line itself.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum duration of a flush, so that a reader that has stopped can't keep the process from ending.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which a flush checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Writes one JSON object per line to standard output, from a separate thread.
///
/// If the reader of standard output stops and the pipe is full, a process that writes its logs synchronously blocks
/// with all its requests. Lines therefore pass through a bounded queue. Lines that don't fit are dropped and counted,
/// and the count is written when there is room again.
#[derive(Debug)]
pub(crate) struct BoundedStdout {
    layout: JsonLayout,
    lines: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
}

#[derive(Debug, Default)]
struct LineCounts {
    queued: AtomicU64,
    dropped: AtomicU64,
}

impl BoundedStdout {
    pub(crate) fn start() -> Self {
        let (lines, rx) = sync_channel(MAX_QUEUED_LINES);
        let counts = Arc::<LineCounts>::default();
        let writer_counts = counts.clone();
        thread::spawn(move || write_lines(&rx, &writer_counts));
        Self { layout: JsonLayout::default(), lines, counts }
    }
}

impl Append for BoundedStdout {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        self.counts.queued.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line).is_err() {
            self.counts.queued.fetch_sub(1, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let polls = FLUSH_TIMEOUT.as_millis() / FLUSH_POLL_INTERVAL.as_millis();
        for _ in 0..polls {
            if self.counts.queued.load(Ordering::Relaxed) == 0 {
                break;
            }
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>, counts: &LineCounts) {
    let mut out = std::io::stdout();
    while let Ok(first) = rx.recv() {
        thread::sleep(BATCH_INTERVAL);
        let mut lines = first;
        let mut count = 1;
        while let Ok(line) = rx.try_recv() {
            lines.extend_from_slice(&line);
            count += 1;
        }
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("{{\"message\":\"lines-lost\",\"kvs\":{{\"lines\":{dropped}}}}}\n");
            lines.extend_from_slice(line.as_bytes());
        }
        // Errors are ignored: logs go to standard output only, so there is nowhere else to report them.
        let _ = out.write_all(&lines).and_then(|()| out.flush());
        counts.queued.fetch_sub(count, Ordering::Relaxed);
    }
}
