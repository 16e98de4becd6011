//! Running site: its stand-ins and nodes.

use crate::balancer::Balancer;
use crate::document;
use crate::options::{Options, PolicyChoice};
use crate::preset::{IDLE_WATTS, Preset, REQUEST_WATTS};
use crate::workload::POISON_MARKER;
use anyhow::Context as _;
use coriandertide::daemon::Node;
use coriandertide::decision::configuration::ConfigurationRecord;
use coriandertide::settings::raw::{RawListenSettings, RawPlatformSettings, RawSettings};
use coriandertide::settings::{ControlSettings, Settings};
use coriandertide_standins::instance_list::Instance;
use coriandertide_standins::{
    EngineConfig, EngineStandIn, GroundTruth, InstanceListConfig, InstanceListStandIn,
    KvStoreConfig, KvStoreStandIn, LogServiceConfig, LogServiceStandIn, PlainServiceConfig,
    PlainServiceStandIn, ServedModel, WeightStoreConfig, WeightStoreStandIn, ZoneDelays,
};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Log stream of the configuration document.
pub const CONFIGURATION_STREAM: &str = "configuration";
/// Loopback address with port 0, which binds a free port.
const FREE_PORT: SmolStr = SmolStr::new_static("127.0.0.1:0");

/// Stand-ins and nodes of a running site.
pub struct Site {
    /// Sizes, rates and traffic.
    pub preset: Preset,
    /// Counters of what really happened.
    pub ground_truth: Arc<GroundTruth>,
    /// Simulated network between availability zones.
    pub zone_delays: ZoneDelays,
    /// Log service.
    pub log: LogServiceStandIn,
    /// Instance list.
    pub instance_list: InstanceListStandIn,
    /// Model engines.
    pub engines: Vec<EngineStandIn>,
    /// Servers of the plain service.
    pub services: Vec<PlainServiceStandIn>,
    /// Load balancer in front of the nodes.
    pub balancer: Balancer,
    nodes: Mutex<Vec<Node>>,
    started_node_count: AtomicU32,
    policy: PolicyChoice,
    control: ControlSettings,
    kv_store: Option<KvStoreStandIn>,
    _weight_store: WeightStoreStandIn,
}

impl Site {
    /// Starts the stand-ins, publishes the initial document and starts the nodes.
    pub fn start(preset: Preset, policy: PolicyChoice, options: &Options) -> anyhow::Result<Self> {
        let ground_truth = GroundTruth::new();
        let delay = Duration::from_micros(u64::from(preset.zone_delay_us));
        let zone_delays = ZoneDelays::uniform(preset.zones, delay);
        let weight_store = WeightStoreStandIn::start(WeightStoreConfig::default())?;
        let kv_store = if options.kv_store {
            Some(KvStoreStandIn::start(KvStoreConfig::default())?)
        } else {
            None
        };
        let engine_config = EngineConfig {
            models: vec![ServedModel { model: preset.model.into(), weights_version: "1".into() }],
            max_running_requests: preset.max_running_requests as usize,
            cache_blocks: preset.cache_blocks as usize,
            prefill_tokens_per_s: preset.prefill_tokens_per_s,
            decode_tokens_per_s: preset.decode_tokens_per_s,
            tokens_per_frame: crate::TOKENS_PER_FRAME,
            idle_watts: IDLE_WATTS,
            request_watts: REQUEST_WATTS,
            poison_marker: Some(POISON_MARKER.to_owned()),
            zone_delays: zone_delays.clone(),
            ground_truth: Arc::clone(&ground_truth),
            kv_store: kv_store.as_ref().map(KvStoreStandIn::stored_prefixes),
            weight_store: Some(weight_store.transfers()),
            ..EngineConfig::default()
        };
        let site = Self {
            engines: start_engines(&preset, &engine_config)?,
            services: start_services(&preset, &ground_truth)?,
            log: LogServiceStandIn::start(LogServiceConfig::default())?,
            instance_list: InstanceListStandIn::start(InstanceListConfig::default())?,
            balancer: Balancer::default(),
            nodes: Mutex::default(),
            started_node_count: AtomicU32::new(0),
            policy,
            control: control_settings(options),
            kv_store,
            _weight_store: weight_store,
            preset,
            ground_truth,
            zone_delays,
        };
        site.register_servers();
        let document = document::initial_document(&site, options.nodes)?;
        site.log.append(CONFIGURATION_STREAM, ConfigurationRecord::initial(document).encode());
        if policy != PolicyChoice::Omniscient {
            for _ in 0..options.nodes {
                site.start_node()?;
            }
        }
        Ok(site)
    }

    /// Starts a node and adds it to the instance list and the load balancer.
    pub fn start_node(&self) -> anyhow::Result<()> {
        let number = self.started_node_count.fetch_add(1, Ordering::Relaxed);
        let zone = self.preset.zones[number as usize % self.preset.zones.len()];
        let name = format_smolstr!("entry-{number}");
        let settings = RawSettings {
            instance_name: name.clone(),
            availability_zone: zone.into(),
            listen: RawListenSettings { callers: FREE_PORT, admin: FREE_PORT, partners: FREE_PORT },
            platform: RawPlatformSettings {
                log: self.log.address().to_smolstr(),
                instance_list: self.instance_list.address().to_smolstr(),
                kv_store: self.kv_store.as_ref().map(|store| store.address().to_smolstr()),
            },
            partner_key: SmolStr::new_static("local-site-partner-key"),
            routing_policy: self.policy.to_smolstr(),
            control: self.control,
            ..RawSettings::default()
        };
        let settings = Settings::try_from(settings).context("invalid settings of a node")?;
        let node = Node::start(settings)?;
        self.instance_list.put_immediately(Instance {
            name: name.to_string(),
            kind: "entry".to_owned(),
            address: node.partner_address(),
            availability_zone: zone.to_owned(),
            state: "live".to_owned(),
        });
        self.balancer.add(node.caller_address());
        lock(&self.nodes).push(node);
        Ok(())
    }

    /// Removes and returns the node started first; the caller drains or kills it.
    pub fn remove_oldest_node(&self) -> Option<Node> {
        let mut nodes = lock(&self.nodes);
        if nodes.is_empty() { None } else { Some(nodes.remove(0)) }
    }

    /// Removes and returns all nodes.
    pub fn remove_all_nodes(&self) -> Vec<Node> {
        std::mem::take(&mut *lock(&self.nodes))
    }

    /// Pauses all threads of one node for `period`.
    pub fn freeze_node(&self, period: Duration) {
        if let Some(node) = lock(&self.nodes).first() {
            node.freeze(period);
        }
    }

    /// Returns the addresses for callers of all nodes.
    pub fn node_addresses(&self) -> Vec<SocketAddr> {
        lock(&self.nodes).iter().map(Node::caller_address).collect()
    }

    /// Returns the instance list's entry of an engine in `state`.
    pub fn server_instance(&self, engine: &EngineStandIn, state: &str) -> Instance {
        Instance {
            name: engine.config().name.clone(),
            kind: "backend_server".to_owned(),
            address: engine.address(),
            availability_zone: engine.config().availability_zone.clone(),
            state: state.to_owned(),
        }
    }

    fn register_servers(&self) {
        for engine in &self.engines {
            self.instance_list.put_immediately(self.server_instance(engine, "live"));
        }
    }
}

fn control_settings(options: &Options) -> ControlSettings {
    let defaults = ControlSettings::default();
    let poll_bytes_per_s = options.poll_bytes_per_s.unwrap_or(defaults.poll_bytes_per_s);
    ControlSettings { poll_bytes_per_s, ..defaults }
}

fn start_engines(preset: &Preset, base: &EngineConfig) -> anyhow::Result<Vec<EngineStandIn>> {
    (0..preset.engines)
        .map(|number| {
            EngineStandIn::start(EngineConfig {
                name: format!("engine-{number:02}"),
                availability_zone: preset.zones[number as usize % preset.zones.len()].to_owned(),
                // Covers engines that check fencing numbers as well as those that do not.
                checks_fencing: number % 2 == 0,
                ..base.clone()
            })
        })
        .collect()
}

fn start_services(
    preset: &Preset,
    ground_truth: &Arc<GroundTruth>,
) -> anyhow::Result<Vec<PlainServiceStandIn>> {
    (0..preset.service_servers)
        .map(|number| {
            PlainServiceStandIn::start(PlainServiceConfig {
                name: format!("{}-{number}", preset.service),
                latency_ms: 10,
                ground_truth: Some(Arc::clone(ground_truth)),
            })
        })
        .collect()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
