//! Threads of a node: one for control, others for traffic.

use async_channel::Receiver;
use futures_lite::FutureExt;
use smol::{Executor, LocalExecutor};
use std::convert::Infallible;
use std::future::Future;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

/// Channel that carries nothing and closes when its threads are to stop.
pub type StopSignal = Receiver<Infallible>;

/// Starts a thread that runs the tasks of `executor` until `stop` closes.
pub fn spawn_traffic(
    name: String,
    executor: Arc<Executor<'static>>,
    stop: StopSignal,
) -> std::io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name).spawn(move || {
        smol::block_on(executor.run(closed(stop)));
    })
}

/// Starts the control thread; `start` gets its executor and returns its main task.
pub fn spawn_control<F, T>(
    name: String,
    start: F,
    stop: StopSignal,
) -> std::io::Result<JoinHandle<()>>
where
    F: FnOnce(Weak<LocalExecutor<'static>>) -> T + Send + 'static,
    T: Future<Output = ()> + 'static,
{
    thread::Builder::new().name(name).spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let main = start(Rc::downgrade(&executor));
        smol::block_on(executor.run(main.or(closed(stop))));
    })
}

/// Waits until all `threads` have ended.
pub fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads {
        if thread.join().is_err() {
            log::error!("event=thread_panicked");
        }
    }
}

async fn closed(stop: StopSignal) {
    let _closed = stop.recv().await;
}
