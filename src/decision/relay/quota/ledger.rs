//! Quotas that one node owns, and the owners of the others.

use super::bucket::Bucket;
use super::messages::{ALL_SEEN_PERMILLE, QuotaAnswer, QuotaCorrection, QuotaQuery};
use super::owners::Nodes;
use crate::decision::relay::peer_node::PeerNode;
use crate::types::{InstanceId, WorkspaceId};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time after which a new owner grants, so that all nodes have learned of the change and an earlier
/// owner grants no longer.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_000);

/// Time without a tick that counts as a pause of the process, in which other nodes may have taken
/// over.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// Time by which a node must be older than this one to count as one that ran before it.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(500);

/// Time without another node after which all nodes that start at once have joined.
const JOIN_PERIOD: Duration = Duration::from_millis(200);

/// Queries of other nodes, all of them young, from which all nodes count as started just now.
const MIN_YOUNG_QUERIES: usize = 3;

/// Time for which another node's report that it does not see all nodes counts. Nodes learn of a change
/// at different moments.
const REPORTED_CUT_PERIOD: Duration = Duration::from_secs(2);

/// Maximum buckets, and workspaces whose owners are remembered.
const MAX_BUCKETS: usize = 65_536;

/// Quotas at one node.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    own: InstanceId,
    nodes: Nodes,
    started_at: Instant,
    /// When this node last began: at its start, and after a pause.
    began_at: Instant,
    /// Whether a node has asked that ran before this one, so that there were owners before.
    has_older_nodes: bool,
    /// Queries of other nodes that did not.
    young_queries: usize,
    /// Earlier live nodes, each until when, as far as a takeover may still be under way.
    earlier_nodes: VecDeque<(Instant, Nodes)>,
    last_tick_at: Instant,
    buckets: BTreeMap<WorkspaceId, Bucket>,
    /// Smallest part of the nodes that other nodes see, in thousandths, and until when that counts.
    reported_part: Option<(u16, Instant)>,
    /// Nodes that have announced themselves, 0 if that is unknown.
    announced: usize,
    /// Addresses of the owners that were worked out for these nodes.
    owners: HashMap<WorkspaceId, Vec<SocketAddr>>,
}

impl QuotaLedger {
    /// Returns the state of a node that starts now and knows no other one.
    pub fn new(now: Instant) -> Self {
        Self {
            own: InstanceId::default(),
            nodes: Nodes::default(),
            started_at: now,
            began_at: now,
            has_older_nodes: false,
            young_queries: 0,
            earlier_nodes: VecDeque::new(),
            last_tick_at: now,
            buckets: BTreeMap::new(),
            reported_part: None,
            announced: 0,
            owners: HashMap::new(),
        }
    }

    /// Sets the live nodes, this one included.
    pub fn set_nodes(&mut self, own: &InstanceId, live: Vec<PeerNode>, now: Instant) {
        self.own = own.clone();
        self.remove_settled(now);
        self.earlier_nodes.push_back((now, self.nodes.clone()));
        self.nodes.set(live, now);
        self.owners.clear();
        let Self { own, nodes, buckets, .. } = self;
        buckets.retain(|workspace, _| nodes.is_owner(own, workspace));
    }

    /// Notices pauses of the process, and nodes that are gone.
    pub fn tick(&mut self, now: Instant) {
        if now > self.last_tick_at + MAX_TICK_GAP {
            self.restart(now);
        }
        self.last_tick_at = now;
        self.nodes.tick(now);
    }

    /// Begins anew, since other nodes may have granted meanwhile.
    pub fn restart(&mut self, now: Instant) {
        log::warn!("event=quotas_restarted owned={}", self.buckets.len());
        self.buckets.clear();
        self.began_at = now;
        self.last_tick_at = now;
    }

    /// Returns the addresses of the owners of a quota, best one first.
    pub fn owners(&mut self, workspace: &WorkspaceId) -> Vec<SocketAddr> {
        if let Some(owners) = self.owners.get(workspace) {
            return owners.clone();
        }
        let owners: Vec<SocketAddr> =
            self.nodes.owners(workspace).into_iter().map(|node| node.address).collect();
        if self.owners.len() >= MAX_BUCKETS {
            self.owners.clear();
        }
        self.owners.insert(workspace.clone(), owners.clone());
        owners
    }

    /// Answers a query of another node.
    pub fn answer_other(&mut self, query: &QuotaQuery, now: Instant) -> QuotaAnswer {
        self.record_age(query.sender_age_ms, now);
        self.record_part(query.seen_permille, now);
        self.answer(query, now)
    }

    /// Returns the part of the nodes that this node sees, in thousandths.
    pub fn seen_permille(&self) -> u16 {
        (self.nodes.seen_fraction() * f64::from(ALL_SEEN_PERMILLE)).ceil() as u16
    }

    /// Answers a query of this node.
    pub fn answer(&mut self, query: &QuotaQuery, now: Instant) -> QuotaAnswer {
        if now > self.last_tick_at + MAX_TICK_GAP {
            self.restart(now);
        }
        let Some(bucket) = self.bucket(query, now) else { return QuotaAnswer::NotOwner };
        bucket.set_limit(query.limit, now);
        match bucket.take(query.units, query.priority, now) {
            Ok(()) => QuotaAnswer::Granted,
            Err(delay) => QuotaAnswer::Denied {
                retry_ms: u32::try_from(delay.as_millis()).unwrap_or(u32::MAX),
                level: bucket.level() as i64,
                revision: bucket.revision(),
            },
        }
    }

    /// Corrects what this node has granted; does nothing if it is no owner.
    pub fn correct(&mut self, correction: &QuotaCorrection, now: Instant) {
        if let Some(bucket) = self.buckets.get_mut(&correction.workspace) {
            bucket.correct(correction.units, now);
        }
    }

    /// Sets how many nodes have announced themselves, those that no longer run included.
    pub fn set_announced(&mut self, nodes: usize) {
        self.announced = nodes;
    }

    /// Returns the number of quotas that this node has granted from.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether it has granted from none.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Returns from when on this node grants from a quota, `None` if it does not yet.
    fn owned_since(&mut self, workspace: &WorkspaceId, now: Instant) -> Option<Instant> {
        self.remove_settled(now);
        if self.has_settled(workspace, now) {
            let last_change_at = self.earlier_nodes.back().map(|(until, _)| *until);
            return Some(last_change_at.unwrap_or(self.began_at + TAKEOVER_DELAY));
        }
        let is_owner = self.nodes.is_owner(&self.own, workspace);
        (is_owner && self.is_start_of_site(now)).then_some(self.started_at)
    }

    /// Whether all nodes have started just now, so that nobody has granted before.
    fn is_start_of_site(&self, now: Instant) -> bool {
        let is_new = self.began_at == self.started_at && now < self.started_at + TAKEOVER_DELAY;
        let others = self.nodes.live().saturating_sub(1);
        let has_heard_others = self.young_queries >= MIN_YOUNG_QUERIES.min(others);
        let all = self.nodes_of_site(now);
        is_new
            && !self.has_older_nodes
            && has_heard_others
            && all.is_some_and(|all| 2 * self.nodes.live() > all)
    }

    /// Returns the number of nodes of the site, `None` while it is unknown: as many as have announced
    /// themselves, or as many as are live once the others have joined.
    fn nodes_of_site(&self, now: Instant) -> Option<usize> {
        let live = self.nodes.live();
        let last_change_at = self.earlier_nodes.back().map(|(until, _)| *until);
        let has_joined = last_change_at.is_none_or(|at| now >= at + JOIN_PERIOD) && live > 1;
        (self.announced > 0 || has_joined).then_some(self.announced.max(live))
    }

    /// Records the age of a node that asks. If it ran before this one, other owners did as well, and
    /// what this node has granted as at a start of the site ends.
    fn record_age(&mut self, age_ms: u32, now: Instant) {
        let own_age = now.saturating_duration_since(self.started_at);
        let is_older = Duration::from_millis(age_ms.into()) > own_age + MIN_AGE_DIFFERENCE;
        self.young_queries += usize::from(!is_older);
        if is_older && !self.has_older_nodes {
            self.has_older_nodes = true;
            if now < self.started_at + TAKEOVER_DELAY {
                self.buckets.clear();
            }
        }
    }

    /// Records which part of the nodes another node sees.
    fn record_part(&mut self, permille: u16, now: Instant) {
        if permille < ALL_SEEN_PERMILLE && permille <= self.reported_permille(now) {
            self.reported_part = Some((permille.max(1), now + REPORTED_CUT_PERIOD));
        }
    }

    /// Returns the smallest part of the nodes that another one sees, by what was reported lately.
    fn reported_permille(&self, now: Instant) -> u16 {
        let reported = self.reported_part.filter(|(_, until)| now < *until);
        reported.map_or(ALL_SEEN_PERMILLE, |(permille, _)| permille)
    }

    /// Returns the part of a quota that the owners on this side of a cut grant.
    fn granted_part(&self, now: Instant) -> f64 {
        let reported = f64::from(self.reported_permille(now)) / f64::from(ALL_SEEN_PERMILLE);
        self.nodes.seen_fraction().min(reported)
    }

    /// Whether this node has owned a quota for long enough, so that no other one grants from it.
    fn has_settled(&self, workspace: &WorkspaceId, now: Instant) -> bool {
        let is_owner = |nodes: &Nodes| nodes.is_owner(&self.own, workspace);
        now >= self.began_at + TAKEOVER_DELAY
            && is_owner(&self.nodes)
            && self.earlier_nodes.iter().all(|(_, nodes)| is_owner(nodes))
    }

    fn remove_settled(&mut self, now: Instant) {
        while let Some((until, _)) = self.earlier_nodes.front() {
            if now < *until + TAKEOVER_DELAY {
                break;
            }
            self.earlier_nodes.pop_front();
        }
    }

    /// Returns the bucket of a quota that this node owns.
    fn bucket(&mut self, query: &QuotaQuery, now: Instant) -> Option<&mut Bucket> {
        if !self.buckets.contains_key(&query.workspace) {
            let empty_at = self.owned_since(&query.workspace, now)?;
            if self.buckets.len() >= MAX_BUCKETS {
                return None;
            }
            let bucket = Bucket::new(query.limit, empty_at);
            self.buckets.insert(query.workspace.clone(), bucket);
        }
        let part = self.granted_part(now);
        let bucket = self.buckets.get_mut(&query.workspace)?;
        bucket.set_part(part, now);
        Some(bucket)
    }
}
