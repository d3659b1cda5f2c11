//! Log lines on standard output that never hold up the process.

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

/// Lines that wait for a reader at most, some half a megabyte; a reader that stopped loses the rest.
const WAITING_LINES: usize = 2_048;
/// Time for which lines are gathered before they are written together: a system call for each line would
/// cost more than the line.
const GATHER: Duration = Duration::from_millis(20);
/// The longest wait of a flush; a reader that stopped must not keep a process from its end.
const FLUSH_LIMIT: Duration = Duration::from_millis(100);
const FLUSH_STEP: Duration = Duration::from_millis(5);

/// Writes one JSON object a line from a thread of its own.
///
/// Failure: the reader of standard output stops reading, and the pipe is full. Symptom: a process that writes
/// its logs itself stands still with all its requests. Lines go through a bounded queue; those that find it
/// full are counted, and the count is written when there is room again.
#[derive(Debug)]
pub(crate) struct BoundedStdout {
    layout: JsonLayout,
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    waiting: AtomicU64,
    left_out: AtomicU64,
}

impl BoundedStdout {
    pub(crate) fn start() -> Self {
        let (lines, rx) = sync_channel(WAITING_LINES);
        let counts = Arc::<Counts>::default();
        let written = counts.clone();
        thread::spawn(move || write_lines(&rx, &written));
        Self { layout: JsonLayout::default(), lines, counts }
    }
}

impl Append for BoundedStdout {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
            self.counts.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let steps = FLUSH_LIMIT.as_millis() / FLUSH_STEP.as_millis();
        for _ in 0..steps {
            if self.counts.waiting.load(Ordering::Relaxed) == 0 {
                break;
            }
            thread::sleep(FLUSH_STEP);
        }
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>, counts: &Counts) {
    let mut out = std::io::stdout();
    while let Ok(first) = rx.recv() {
        thread::sleep(GATHER);
        let mut lines = first;
        let mut count = 1;
        while let Ok(line) = rx.try_recv() {
            lines.extend_from_slice(&line);
            count += 1;
        }
        let left_out = counts.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let line = format!("{{\"message\":\"lines-lost\",\"kvs\":{{\"lines\":{left_out}}}}}\n");
            lines.extend_from_slice(line.as_bytes());
        }
        // Standard output is the only place to tell of it; without a reader there is nobody to tell.
        let _ = out.write_all(&lines).and_then(|()| out.flush());
        counts.waiting.fetch_sub(count, Ordering::Relaxed);
    }
}
