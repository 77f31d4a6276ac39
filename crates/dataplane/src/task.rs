//! Tasks on the single thread.

use std::future::Future;

/// Spawns a task on the current thread; it runs until it completes or the program exits.
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}
