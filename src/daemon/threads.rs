//! Threads of a node: one control thread and several traffic threads.

use async_channel::Receiver;
use futures_lite::FutureExt;
use smol::{Executor, LocalExecutor};
use std::convert::Infallible;
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

/// Channel without messages that closes when its receivers must stop.
pub type StopSignal = Receiver<Infallible>;

/// Starts a traffic thread, which runs the tasks of `executor` until `stop_signal` closes.
pub fn spawn_traffic(
    name: String,
    executor: Arc<Executor<'static>>,
    stop_signal: StopSignal,
) -> std::io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name).spawn(move || {
        smol::block_on(executor.run(wait_until_closed(stop_signal)));
    })
}

/// Starts the control thread, which runs the main task that `create_main_task` returns, until
/// `stop_signal` closes.
pub fn spawn_control<F, T>(
    name: String,
    create_main_task: F,
    stop_signal: StopSignal,
) -> std::io::Result<JoinHandle<()>>
where
    F: FnOnce(Weak<LocalExecutor<'static>>) -> T + Send + 'static,
    T: Future<Output = ()> + 'static,
{
    thread::Builder::new().name(name).spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let main_task = create_main_task(Rc::downgrade(&executor));
        smol::block_on(executor.run(main_task.or(wait_until_closed(stop_signal))));
    })
}

/// Calls `handle`, and logs a panic in it instead of ending the thread: an unexpected error in the
/// handling of one `kind` of message must not end the handling of all others. Returns whether it
/// returned.
pub fn catch_panic(kind: &str, handle: impl FnOnce()) -> bool {
    let result = catch_unwind(AssertUnwindSafe(handle));
    if result.is_err() {
        log::error!("event=handler_panicked kind={kind}");
    }
    result.is_ok()
}

/// Waits until all `threads` have ended, and logs each that panicked.
pub fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        if thread.join().is_err() {
            log::error!("event=thread_panicked");
        }
    }
}

async fn wait_until_closed(signal: StopSignal) {
    let _closed = signal.recv().await;
}
