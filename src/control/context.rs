//! Context of the control thread: ports, settings and the channel of its events.

use super::ControlEvent;
use crate::decision::power::PowerAccount;
use crate::metrics::Metrics;
use crate::ports::{InstanceList, KvStore, LogService, ModelEngine};
use crate::settings::Settings;
use crate::traffic::shed_signals::ShedSignals;
use crate::types::InstanceId;
use async_channel::Sender;
use smol::LocalExecutor;
use std::cell::Cell;
use std::future::Future;
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// Ports, settings and channels shared by the tasks of the control thread.
#[derive(Clone)]
pub struct ControlContext {
    /// Instance id of this node, unique to this run.
    pub instance: InstanceId,
    /// Settings.
    pub settings: Arc<Settings>,
    /// Account of the watts that the node may commit, shared with the traffic threads.
    pub power: Arc<PowerAccount>,
    /// Cancels attempts whose watts are withdrawn.
    pub shed_signals: Arc<ShedSignals>,
    /// The platform's log.
    pub log: Arc<dyn LogService>,
    /// The platform's instance list.
    pub instance_list: Arc<dyn InstanceList>,
    /// Model engines.
    pub engines: Arc<dyn ModelEngine>,
    /// External store of KV cache, `None` if the site has none.
    pub kv_store: Option<Arc<dyn KvStore>>,
    /// Metrics.
    pub metrics: Metrics,
    /// Queue of events to the control loop.
    pub events: Sender<ControlEvent>,
    /// Estimated number of live nodes, this one included.
    pub live_nodes: Rc<Cell<u32>>,
    /// Executor of the control thread; weak because its tasks own clones of this context.
    pub executor: Weak<LocalExecutor<'static>>,
}

impl ControlContext {
    /// Runs `task` on the control thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Sends `event` to the control loop; it is dropped if the loop has ended.
    pub async fn send(&self, event: ControlEvent) {
        if self.events.send(event).await.is_err() {
            log::debug!("event=control_stopped");
        }
    }
}
