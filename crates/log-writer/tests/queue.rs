//! Lines to writers that fail, recover and block: nothing is waited for, and what is dropped is counted and told of.

use fennelscale_log_writer::{LineQueue, LineSink, MAX_QUEUED_BYTES};
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Long enough for a busy machine.
const LONG: Duration = Duration::from_secs(30);

/// What was written, and how much more can be.
#[derive(Default)]
struct Disk {
    written: Vec<u8>,
    free: usize,
}

/// A writer to a disk that may be full.
#[derive(Clone, Default)]
struct DiskWriter(Arc<Mutex<Disk>>);

impl DiskWriter {
    fn set_free(&self, bytes: usize) {
        self.0.lock().unwrap().free = bytes;
    }

    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().written.clone()).unwrap()
    }
}

impl Write for DiskWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut disk = self.0.lock().unwrap();
        let fits = bytes.len().min(disk.free);
        if fits == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        disk.free -= fits;
        disk.written.extend_from_slice(&bytes[..fits]);
        Ok(fits)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_written_in_their_order() {
    let disk = DiskWriter::default();
    disk.set_free(1000);
    let queue = LineQueue::start(disk.clone());
    (0..5).for_each(|n| queue.push(format!("line {n}\n").into_bytes()));
    queue.flush(LONG);
    assert_eq!(disk.text(), "line 0\nline 1\nline 2\nline 3\nline 4\n");
    assert_eq!(queue.dropped_lines(), 0);
}

/// Guards against the end of the process by a full disk behind its log.
#[test]
fn lines_that_cannot_be_written_are_counted_and_told_of_once() {
    let disk = DiskWriter::default();
    let queue = LineQueue::start(disk.clone());
    (0..3).for_each(|_| queue.push(b"lost\n".to_vec()));
    queue.flush(LONG);
    assert_eq!((queue.dropped_lines(), disk.text().as_str()), (3, ""));
    disk.set_free(1000);
    for line in ["first\n", "second\n"] {
        queue.push(line.as_bytes().to_vec());
    }
    queue.flush(LONG);
    assert_eq!(disk.text(), "level=warn event=log-lines-dropped count=3\nfirst\nsecond\n");
    assert_eq!(queue.dropped_lines(), 3);
}

#[test]
fn a_line_that_was_written_in_part_does_not_run_into_the_next_one() {
    let disk = DiskWriter::default();
    disk.set_free(4);
    let mut sink = LineSink::new(disk.clone());
    assert!(!sink.write(b"too long\n", 0));
    disk.set_free(1000);
    assert!(sink.write(b"next\n", 1));
    assert_eq!(disk.text(), "too \nlevel=warn event=log-lines-dropped count=1\nnext\n");
}

/// A writer that blocks in each write until it is told to go on.
struct Blocking(Receiver<()>, DiskWriter);

impl Write for Blocking {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.recv().map_err(|_| io::ErrorKind::BrokenPipe)?;
        self.1.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a process that stands still because the reader of its log does: this test would not end.
#[test]
fn a_reader_that_has_stopped_holds_up_nobody_and_bounds_what_waits() {
    const LINE: usize = 1024;
    const COUNT: usize = 2 * MAX_QUEUED_BYTES / LINE;
    let disk = DiskWriter::default();
    disk.set_free(usize::MAX);
    let (go_on, waits) = channel();
    let queue = LineQueue::start(Blocking(waits, disk.clone()));
    let mut line = vec![b'x'; LINE - 1];
    line.push(b'\n');
    (0..COUNT).for_each(|_| queue.push(line.clone()));
    let dropped = queue.dropped_lines();
    // One more may be with the thread.
    let held = COUNT as u64 - dropped;
    assert!(held * LINE as u64 <= (MAX_QUEUED_BYTES + LINE) as u64, "{held} lines are held");
    assert!(held * LINE as u64 >= MAX_QUEUED_BYTES as u64, "only {held} lines are held");
    queue.flush(Duration::from_millis(1));
    (0..COUNT).for_each(|_| go_on.send(()).unwrap());
    queue.flush(LONG);
    queue.push(b"after\n".to_vec());
    queue.flush(LONG);
    let text = disk.text();
    assert_eq!(text.lines().filter(|line| line.starts_with('x')).count() as u64, held);
    // Told of with the next line that the thread began to write after the loss.
    assert_eq!(text.matches("event=log-lines-dropped").count(), 1);
    assert!(text.contains(&format!("count={dropped}\n")) && text.ends_with("after\n"));
    assert_eq!(queue.dropped_lines(), dropped);
}
