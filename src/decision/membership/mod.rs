//! Membership of nodes: partners to link to, a failure detector, and the number of live nodes.
//!
//! Changes are flooded over the links; nothing is sent for members that do not change. Membership
//! steers efficiency only: no safety property depends on it.

pub mod members;
pub mod messages;
pub mod partners;
pub mod settings;
pub mod tree;

pub use members::Members;
pub use messages::{MemberRecord, MemberStatus, MembershipCommand, MembershipEvent};
pub use partners::choose_partners;
pub use settings::MembershipSettings;
pub use tree::{TreePlace, tree_place};

use crate::types::InstanceId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Membership as one node sees it.
#[derive(Clone, Debug)]
pub struct MembershipState {
    settings: MembershipSettings,
    local: MemberRecord,
    members: Members,
    links: BTreeMap<InstanceId, Link>,
    backoffs: BTreeMap<SocketAddr, DialBackoff>,
    listed: Vec<SocketAddr>,
    /// Position in `listed` at which the next dial of a seed starts.
    next_seed: usize,
    next_ping_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Link {
    dialed: bool,
    silent_at: Instant,
    /// When the link is closed, while this node dialed it and no longer wants it.
    unwanted_at: Option<Instant>,
    differing_pings: u32,
}

/// Wait before an address is dialed again.
#[derive(Clone, Copy, Debug)]
struct DialBackoff {
    next_dial_at: Instant,
    /// Dials since the last link to the address.
    dials: u32,
}

/// Doublings of the wait between dials of one address at most.
const BACKOFF_DOUBLINGS: u32 = 3;

/// Time after which the backoff of an address that is no longer dialed is dropped.
const BACKOFF_LIFETIME: Duration = Duration::from_secs(60);

impl MembershipState {
    /// Returns the state of a node that has just started.
    pub fn new(local: MemberRecord, settings: MembershipSettings) -> Self {
        let members = Members::new(
            Duration::from_millis(settings.suspicion_timeout_ms),
            Duration::from_millis(settings.dead_retention_ms),
        );
        Self {
            settings,
            local,
            members,
            links: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            listed: Vec::new(),
            next_seed: 0,
            next_ping_at: None,
        }
    }

    /// Applies `event` and returns what to do.
    pub fn apply(&mut self, event: MembershipEvent, now: Instant) -> Vec<MembershipCommand> {
        let mut commands = Vec::new();
        match event {
            MembershipEvent::SeedAddresses(addresses) => {
                self.listed = addresses;
                if self.links.is_empty() {
                    self.dial_seeds(now, &mut commands);
                }
            }
            MembershipEvent::LinkOpened { peer, dialed } => {
                self.open_link(&peer, dialed, now, &mut commands);
            }
            MembershipEvent::LinkClosed { peer, graceful } => {
                self.close_link(&peer, graceful, now, &mut commands);
            }
            MembershipEvent::DialFailed(address) => self.fail_dial(address, now, &mut commands),
            MembershipEvent::MessageReceived(peer) => self.hear(&peer, now),
            MembershipEvent::Ping { peer, digest } => {
                self.compare_digest(&peer, digest, &mut commands);
            }
            MembershipEvent::Records { peer, records } => {
                self.merge_records(Some(&peer), &records, now, &mut commands);
            }
            MembershipEvent::Tick => self.tick(now, &mut commands),
            MembershipEvent::Leave => self.leave(&mut commands),
        }
        commands
    }

    /// Record of this node.
    pub fn local_record(&self) -> &MemberRecord {
        &self.local
    }

    /// Digest of the live members; equal sets have equal digests.
    pub fn digest(&self) -> u64 {
        self.members.digest(&self.local)
    }

    /// Estimate of the number of live nodes, this one included; the platform's list stands in while
    /// no link is open.
    pub fn live_nodes(&self) -> u32 {
        let count = if self.links.is_empty() {
            self.listed.len().max(1)
        } else {
            self.members.live().count() + 1
        };
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Live members but for this node.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.live()
    }

    /// Whether the nodes are too many for links between all of them.
    pub fn exceeds_full_mesh(&self) -> bool {
        self.members.live().count() >= self.settings.max_full_mesh_nodes
    }

    /// Place of this node in the tree over all live nodes; all others are its children while every
    /// node has a link to every other.
    pub fn tree_place(&self) -> TreePlace {
        if !self.exceeds_full_mesh() {
            let children = self.members.live().map(|member| member.instance.clone()).collect();
            return TreePlace { parent: None, children };
        }
        let alive = |member: &&MemberRecord| member.status == MemberStatus::Alive;
        let others: Vec<&MemberRecord> = self.members.records().filter(alive).collect();
        tree_place(&self.local, &others)
    }

    /// Number of changes of the members so far.
    pub fn change_count(&self) -> u64 {
        self.members.change_count()
    }

    /// Peers with an open link.
    pub fn linked_peers(&self) -> impl Iterator<Item = &InstanceId> {
        self.links.keys()
    }

    fn open_link(
        &mut self,
        peer: &MemberRecord,
        dialed: bool,
        now: Instant,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let link = Link {
            dialed,
            silent_at: now + Duration::from_millis(self.settings.receive_timeout_ms),
            unwanted_at: None,
            differing_pings: 0,
        };
        self.links.insert(peer.instance.clone(), link);
        self.backoffs.remove(&peer.address);
        self.merge_records(Some(&peer.instance), std::slice::from_ref(peer), now, commands);
        commands.push(self.all_records(&peer.instance));
    }

    fn all_records(&self, to: &InstanceId) -> MembershipCommand {
        let records = self.members.records().chain([&self.local]).cloned().collect();
        MembershipCommand::SendRecords { to: to.clone(), records }
    }

    /// A link that broke is dialed again at once; the failure of that dial raises a suspicion.
    fn close_link(
        &mut self,
        peer: &InstanceId,
        graceful: bool,
        now: Instant,
        commands: &mut Vec<MembershipCommand>,
    ) {
        if self.links.remove(peer).is_none() || graceful {
            return;
        }
        let address = self.members.live().find(|record| record.instance == *peer);
        if let Some(address) = address.map(|record| record.address) {
            self.dial(address, now, commands);
        }
    }

    fn dial(&mut self, address: SocketAddr, now: Instant, commands: &mut Vec<MembershipCommand>) {
        let dials = self.backoffs.get(&address).map_or(0, |backoff| backoff.dials);
        let wait_ms = self.settings.redial_delay_ms << dials.min(BACKOFF_DOUBLINGS);
        let next_dial_at = now + Duration::from_millis(wait_ms);
        self.backoffs.insert(address, DialBackoff { next_dial_at, dials: dials + 1 });
        commands.push(MembershipCommand::Dial(address));
    }

    fn may_dial(&self, address: SocketAddr, now: Instant) -> bool {
        self.backoffs.get(&address).is_none_or(|backoff| backoff.next_dial_at <= now)
    }

    fn fail_dial(
        &mut self,
        address: SocketAddr,
        now: Instant,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let Some(member) = self.members.live_at(address) else { return };
        let instance = member.instance.clone();
        if self.links.contains_key(&instance) {
            return;
        }
        if let Some(record) = self.members.raise(&instance, MemberStatus::Suspect, now) {
            self.flood(None, &[record], commands);
        }
    }

    fn hear(&mut self, peer: &InstanceId, now: Instant) {
        if let Some(link) = self.links.get_mut(peer) {
            link.silent_at = now + Duration::from_millis(self.settings.receive_timeout_ms);
        }
    }

    /// Sends the whole member set to a peer whose set has differed for a while.
    fn compare_digest(
        &mut self,
        peer: &InstanceId,
        digest: u64,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let own_digest = self.digest();
        let limit = self.settings.resync_after_mismatches;
        let Some(link) = self.links.get_mut(peer) else { return };
        link.differing_pings = if digest == own_digest { 0 } else { link.differing_pings + 1 };
        if link.differing_pings >= limit {
            link.differing_pings = 0;
            commands.push(self.all_records(peer));
        }
    }

    /// Merges records and floods what is new; a record that doubts this node is refuted.
    fn merge_records(
        &mut self,
        source: Option<&InstanceId>,
        records: &[MemberRecord],
        now: Instant,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let mut news = Vec::new();
        for record in records {
            if record.instance == self.local.instance {
                self.refute(record, commands);
            } else if record.address == self.local.address && record.status < MemberStatus::Dead {
                // An earlier run of this node.
                let dead = MemberRecord { status: MemberStatus::Dead, ..record.clone() };
                self.flood(None, &[dead], commands);
            } else if self.members.merge(record, now) {
                news.push(record.clone());
            }
        }
        self.flood(source, &news, commands);
    }

    /// Raises the own version above that of a record that doubts this node.
    fn refute(&mut self, record: &MemberRecord, commands: &mut Vec<MembershipCommand>) {
        let doubts = matches!(record.status, MemberStatus::Suspect | MemberStatus::Dead);
        let is_alive = self.local.status == MemberStatus::Alive;
        if doubts && is_alive && record.version >= self.local.version {
            self.local.version = record.version + 1;
            self.flood(None, std::slice::from_ref(&self.local), commands);
        }
    }

    fn flood(
        &self,
        source: Option<&InstanceId>,
        records: &[MemberRecord],
        commands: &mut Vec<MembershipCommand>,
    ) {
        if records.is_empty() {
            return;
        }
        for to in self.links.keys().filter(|peer| Some(*peer) != source) {
            let records = records.to_vec();
            commands.push(MembershipCommand::SendRecords { to: to.clone(), records });
        }
    }

    fn tick(&mut self, now: Instant, commands: &mut Vec<MembershipCommand>) {
        if self.local.status == MemberStatus::Left {
            return;
        }
        let died = self.members.expire(now);
        self.flood(None, &died, commands);
        self.close_silent_links(now, commands);
        if self.next_ping_at.is_none_or(|next_ping_at| next_ping_at <= now) {
            self.next_ping_at = Some(now + Duration::from_millis(self.settings.ping_period_ms));
            self.ping(commands);
            self.tend_partners(now, commands);
            self.dial_seeds(now, commands);
            self.backoffs.retain(|_, backoff| backoff.next_dial_at + BACKOFF_LIFETIME > now);
        }
    }

    fn ping(&self, commands: &mut Vec<MembershipCommand>) {
        let digest = self.digest();
        let pings = self.links.keys().cloned();
        commands.extend(pings.map(|to| MembershipCommand::SendPing { to, digest }));
    }

    fn close_silent_links(&mut self, now: Instant, commands: &mut Vec<MembershipCommand>) {
        let is_silent = |link: &Link| link.silent_at <= now;
        let silent: Vec<InstanceId> = self
            .links
            .iter()
            .filter(|(_, link)| is_silent(link))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in silent {
            commands.push(MembershipCommand::Close(peer.clone()));
            self.close_link(&peer, false, now, commands);
        }
    }

    /// Dials partners without a link and closes links that this node dialed and no longer wants.
    fn tend_partners(&mut self, now: Instant, commands: &mut Vec<MembershipCommand>) {
        let live: Vec<&MemberRecord> = self.members.live().collect();
        let MembershipSettings { max_full_mesh_nodes, partial_mesh_partners, .. } = self.settings;
        let partners =
            choose_partners(&self.local, &live, max_full_mesh_nodes, partial_mesh_partners);
        let parent = self.tree_place().parent;
        let is_parent = |member: &&&MemberRecord| parent.as_ref() == Some(&member.instance);
        let wanted: BTreeSet<InstanceId> =
            partners.iter().map(|partner| partner.instance.clone()).chain(parent.clone()).collect();
        let missing: Vec<SocketAddr> = partners
            .iter()
            .chain(live.iter().filter(is_parent))
            .filter(|partner| !self.links.contains_key(&partner.instance))
            .map(|partner| partner.address)
            .filter(|address| self.may_dial(*address, now))
            .collect();
        for address in missing {
            self.dial(address, now, commands);
        }
        self.close_unwanted(&wanted, now, commands);
    }

    fn close_unwanted(
        &mut self,
        wanted: &BTreeSet<InstanceId>,
        now: Instant,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let close_at = now + Duration::from_millis(self.settings.surplus_link_grace_ms);
        let mut closed = Vec::new();
        for (peer, link) in &mut self.links {
            if !link.dialed || wanted.contains(peer) {
                link.unwanted_at = None;
            } else if *link.unwanted_at.get_or_insert(close_at) <= now {
                closed.push(peer.clone());
            }
        }
        for peer in closed {
            self.links.remove(&peer);
            commands.push(MembershipCommand::Close(peer));
        }
    }

    /// Dials listed addresses at which no live node is known, a few at a time.
    fn dial_seeds(&mut self, now: Instant, commands: &mut Vec<MembershipCommand>) {
        let mut dials = 0;
        for _ in 0..self.listed.len() {
            let address = self.listed[self.next_seed % self.listed.len()];
            self.next_seed = (self.next_seed + 1) % self.listed.len();
            let is_known = address == self.local.address || self.members.live_at(address).is_some();
            if is_known || !self.may_dial(address, now) {
                continue;
            }
            self.dial(address, now, commands);
            dials += 1;
            if dials == self.settings.seed_dials_per_period {
                return;
            }
        }
    }

    fn leave(&mut self, commands: &mut Vec<MembershipCommand>) {
        self.local.status = MemberStatus::Left;
        self.flood(None, std::slice::from_ref(&self.local), commands);
        let links = std::mem::take(&mut self.links);
        commands.extend(links.into_keys().map(MembershipCommand::Close));
    }
}
