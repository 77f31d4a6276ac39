//! A bounded queue of lines, emptied by a thread that may block.

use crate::LineSink;
use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Bytes of lines that may wait to be written; further lines are dropped.
pub const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Stack of the thread, which calls nothing deep.
const STACK_SIZE: usize = 128 * 1024;

#[derive(Default)]
struct State {
    lines: VecDeque<Vec<u8>>,
    queued_bytes: usize,
    /// The thread is writing a line, or is about to.
    is_writing: bool,
    /// Lines that were dropped, and how many of them no line has told of.
    dropped: u64,
    untold: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    /// Notified when there is a line to write.
    filled: Condvar,
    /// Notified when all lines are written.
    emptied: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a line; returns it with the number of dropped lines to tell of.
    fn next_line(&self) -> (Vec<u8>, u64) {
        let mut state = self.lock();
        loop {
            if let Some(line) = state.lines.pop_front() {
                state.queued_bytes = state.queued_bytes.saturating_sub(line.len());
                state.is_writing = true;
                return (line, state.untold);
            }
            state = self.filled.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Records whether a line was written, with the news of `told` dropped lines.
    fn line_done(&self, is_written: bool, told: u64) {
        let mut state = self.lock();
        state.is_writing = false;
        if is_written {
            state.untold = state.untold.saturating_sub(told);
        } else {
            state.count_dropped();
        }
        if state.lines.is_empty() {
            self.emptied.notify_all();
        }
    }
}

impl State {
    fn count_dropped(&mut self) {
        self.dropped = self.dropped.saturating_add(1);
        self.untold = self.untold.saturating_add(1);
    }
}

/// A bounded queue of lines to a writer that may fail or block.
pub struct LineQueue {
    shared: Arc<Shared>,
    /// There is a thread that writes.
    has_thread: bool,
}

impl LineQueue {
    /// Starts the thread that writes to `writer`. Without a thread all lines are dropped.
    pub fn start(writer: impl Write + Send + 'static) -> Self {
        let shared = Arc::<Shared>::default();
        let of_thread = shared.clone();
        let builder = std::thread::Builder::new().name("log-writer".into()).stack_size(STACK_SIZE);
        let thread = builder.spawn(move || {
            let mut sink = LineSink::new(writer);
            loop {
                let (line, dropped) = of_thread.next_line();
                let is_written = sink.write(&line, dropped);
                of_thread.line_done(is_written, dropped);
            }
        });
        Self { shared, has_thread: thread.is_ok() }
    }

    /// Adds whole lines, or drops them if there is no room.
    pub fn push(&self, line: Vec<u8>) {
        let mut state = self.shared.lock();
        let queued_bytes = state.queued_bytes.saturating_add(line.len());
        if !self.has_thread || queued_bytes > MAX_QUEUED_BYTES {
            return state.count_dropped();
        }
        state.queued_bytes = queued_bytes;
        state.lines.push_back(line);
        drop(state);
        self.shared.filled.notify_one();
    }

    /// Number of lines that were dropped so far.
    pub fn dropped_lines(&self) -> u64 {
        self.shared.lock().dropped
    }

    /// Waits until all lines are written or dropped, but at most for `timeout`.
    pub fn flush(&self, timeout: Duration) {
        let state = self.shared.lock();
        let is_busy = |state: &mut State| state.is_writing || !state.lines.is_empty();
        drop(self.shared.emptied.wait_timeout_while(state, timeout, is_busy));
    }
}
