//! Async executor shared by all stand-ins of a process.

use smol::{Executor, Task};
use std::future::{Future, pending};
use std::sync::{Mutex, MutexGuard, Once, PoisonError};
use std::thread;

/// Number of executor threads.
const THREADS: usize = 3;

static EXECUTOR: Executor<'static> = Executor::new();
static START: Once = Once::new();

/// Spawns `future` on the shared executor; dropping the returned task cancels it.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    START.call_once(start_threads);
    EXECUTOR.spawn(future)
}

/// Locks `mutex`, ignoring poisoning.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start_threads() {
    for index in 0..THREADS {
        thread::Builder::new()
            .name(format!("stand-in-{index}"))
            .spawn(|| smol::block_on(EXECUTOR.run(pending::<()>())))
            .expect("spawning an executor thread succeeds");
    }
}
