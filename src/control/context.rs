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

/// Ports and settings that the parts of the control thread work with.
#[derive(Clone)]
pub struct ControlContext {
    /// Id of this run of the node.
    pub instance: InstanceId,
    /// Settings.
    pub settings: Arc<Settings>,
    /// Watts that the node may commit.
    pub power: Arc<PowerAccount>,
    /// Signals to attempts whose watts are withdrawn.
    pub shed_signals: Arc<ShedSignals>,
    /// Platform's log.
    pub log: Arc<dyn LogService>,
    /// Platform's instance list.
    pub instance_list: Arc<dyn InstanceList>,
    /// Model engines.
    pub engines: Arc<dyn ModelEngine>,
    /// Store of kept KV cache, where the site has one.
    pub kv_store: Option<Arc<dyn KvStore>>,
    /// Metrics.
    pub metrics: Metrics,
    /// Events of the control thread.
    pub events: Sender<ControlEvent>,
    /// Live nodes, this one included.
    pub live_nodes: Rc<Cell<u32>>,
    /// Executor of the control thread, held weakly since its tasks hold this context.
    pub executor: Weak<LocalExecutor<'static>>,
}

impl ControlContext {
    /// Runs `task` on the control thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            executor.spawn(task).detach();
        }
    }

    /// Sends `event` to the control loop; it is lost only when the node stops.
    pub async fn send(&self, event: ControlEvent) {
        if self.events.send(event).await.is_err() {
            log::debug!("event=control_stopped");
        }
    }
}
