//! Membership protocol: selection of partners, failure detection, and the number of live nodes.
//!
//! Changed records are flooded over the links; unchanged ones are not sent again. Membership
//! affects efficiency only: no safety property depends on it.

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

/// Membership protocol state of one node.
#[derive(Clone, Debug)]
pub struct MembershipState {
    settings: MembershipSettings,
    local: MemberRecord,
    members: Members,
    links: BTreeMap<InstanceId, Link>,
    /// Dial backoffs of addresses without a link.
    backoffs: BTreeMap<SocketAddr, DialBackoff>,
    /// Partner listeners on the instance list, dialed to find members.
    seeds: Vec<SocketAddr>,
    /// Index in `seeds` of the next address to consider for a dial.
    next_seed_index: usize,
    next_ping_at: Option<Instant>,
}

/// Open link to a peer.
#[derive(Clone, Debug)]
struct Link {
    /// Whether this node dialed the peer.
    dialed: bool,
    /// When the link is closed unless a message is received before.
    receive_deadline: Instant,
    /// When the link is closed as surplus; set while this node dialed it but the peer is neither a
    /// selected partner nor the tree parent.
    surplus_close_at: Option<Instant>,
    /// Consecutive pings whose digest differed from that of this node.
    digest_mismatches: u32,
}

/// Delay before an address is dialed again.
#[derive(Clone, Copy, Debug)]
struct DialBackoff {
    next_dial_at: Instant,
    /// Dials since a link to the address was last opened.
    dials: u32,
}

/// Maximum number of doublings of the delay between dials of one address.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Time after which the backoff of an address that is no longer dialed is discarded.
const BACKOFF_RETENTION: Duration = Duration::from_secs(60);

impl MembershipState {
    /// Returns the state of a newly started node.
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
            seeds: Vec::new(),
            next_seed_index: 0,
            next_ping_at: None,
        }
    }

    /// Applies `event` and returns the resulting commands.
    pub fn apply(&mut self, event: MembershipEvent, now: Instant) -> Vec<MembershipCommand> {
        let mut commands = Vec::new();
        match event {
            MembershipEvent::SeedAddresses(addresses) => {
                self.seeds = addresses;
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
            MembershipEvent::DialFailed(address) => self.mark_suspect(address, now, &mut commands),
            MembershipEvent::MessageReceived(peer) => self.extend_receive_deadline(&peer, now),
            MembershipEvent::Ping { peer, digest } => {
                self.compare_digest(&peer, digest, &mut commands);
            }
            MembershipEvent::Records { peer, records } => {
                self.merge_records(Some(&peer), &records, now, &mut commands);
            }
            MembershipEvent::Tick => self.tick(now, &mut commands),
            MembershipEvent::Stop => self.stop(&mut commands),
            MembershipEvent::Leave => self.leave(&mut commands),
        }
        commands
    }

    /// Returns the record of this node.
    pub fn local_record(&self) -> &MemberRecord {
        &self.local
    }

    /// Returns a digest of the live members, this node included; equal sets have equal digests.
    pub fn digest(&self) -> u64 {
        self.members.digest(&self.local)
    }

    /// Returns an estimate of the number of live nodes, this one included; the number of seeds
    /// while no link is open.
    pub fn live_nodes(&self) -> u32 {
        let count = if self.links.is_empty() {
            self.seeds.len().max(1)
        } else {
            self.live_members().count() + 1
        };
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the members that are alive or suspect and not stopping, this node excluded.
    pub fn live_members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.live().filter(|member| !member.is_stopping)
    }

    /// Returns the members that are stopping: they answer queries, and take no duties.
    pub fn stopping_members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.live().filter(|member| member.is_stopping)
    }

    /// Whether there are too many live nodes for a link between every two of them.
    pub fn exceeds_full_mesh(&self) -> bool {
        self.live_members().count() >= self.settings.max_full_mesh_nodes
    }

    /// Returns the place of this node in the tree over all nodes, suspects excluded. In a full mesh
    /// all live members are its children.
    pub fn tree_place(&self) -> TreePlace {
        if !self.exceeds_full_mesh() {
            let children = self.live_members().map(|member| member.instance.clone()).collect();
            return TreePlace { parent: None, children };
        }
        if self.local.is_stopping {
            return TreePlace::default();
        }
        let alive = |member: &&MemberRecord| member.status == MemberStatus::Alive;
        let others: Vec<&MemberRecord> = self.live_members().filter(alive).collect();
        tree_place(&self.local, &others)
    }

    /// Returns how often a member record was added, replaced or removed.
    pub fn change_count(&self) -> u64 {
        self.members.change_count()
    }

    /// Returns the peers with an open link.
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
            receive_deadline: now + Duration::from_millis(self.settings.receive_timeout_ms),
            surplus_close_at: None,
            digest_mismatches: 0,
        };
        self.links.insert(peer.instance.clone(), link);
        self.backoffs.remove(&peer.address);
        self.merge_records(Some(&peer.instance), std::slice::from_ref(peer), now, commands);
        commands.push(self.full_sync(&peer.instance));
    }

    /// Returns the command that sends all records to a peer.
    fn full_sync(&self, to: &InstanceId) -> MembershipCommand {
        let records = self.members.records().chain([&self.local]).cloned().collect();
        MembershipCommand::SendRecords { to: to.clone(), records }
    }

    /// Removes a closed link. The peer of a broken one is dialed again at once; if that dial fails,
    /// the peer becomes a suspect.
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
        let wait_ms = self.settings.redial_delay_ms << dials.min(MAX_BACKOFF_DOUBLINGS);
        let next_dial_at = now + Duration::from_millis(wait_ms);
        self.backoffs.insert(address, DialBackoff { next_dial_at, dials: dials + 1 });
        commands.push(MembershipCommand::Dial(address));
    }

    fn may_dial(&self, address: SocketAddr, now: Instant) -> bool {
        self.backoffs.get(&address).is_none_or(|backoff| backoff.next_dial_at <= now)
    }

    /// Marks the member at an address that could not be dialed as suspect, unless it has a link.
    fn mark_suspect(
        &mut self,
        address: SocketAddr,
        now: Instant,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let Some(member) = self.members.live_by_address(address) else { return };
        let instance = member.instance.clone();
        if self.links.contains_key(&instance) {
            return;
        }
        if let Some(record) = self.members.raise_status(&instance, MemberStatus::Suspect, now) {
            self.flood(None, &[record], commands);
        }
    }

    fn extend_receive_deadline(&mut self, peer: &InstanceId, now: Instant) {
        if let Some(link) = self.links.get_mut(peer) {
            link.receive_deadline = now + Duration::from_millis(self.settings.receive_timeout_ms);
        }
    }

    /// Sends all records to a peer whose digest has differed in several consecutive pings.
    fn compare_digest(
        &mut self,
        peer: &InstanceId,
        digest: u64,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let local_digest = self.digest();
        let limit = self.settings.resync_after_mismatches;
        let Some(link) = self.links.get_mut(peer) else { return };
        link.digest_mismatches =
            if digest == local_digest { 0 } else { link.digest_mismatches + 1 };
        if link.digest_mismatches >= limit {
            link.digest_mismatches = 0;
            commands.push(self.full_sync(peer));
        }
    }

    /// Merges records and floods the changed ones, except to `source`; refutes a suspicion of this
    /// node.
    fn merge_records(
        &mut self,
        source: Option<&InstanceId>,
        records: &[MemberRecord],
        now: Instant,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let mut updates = Vec::new();
        for record in records {
            if record.instance == self.local.instance {
                self.refute(record, commands);
            } else if record.address == self.local.address && record.status < MemberStatus::Dead {
                // Declare an earlier run of this node dead.
                let dead = MemberRecord { status: MemberStatus::Dead, ..record.clone() };
                self.flood(None, &[dead], commands);
            } else if self.members.merge(record, now) {
                updates.push(record.clone());
            }
        }
        self.flood(source, &updates, commands);
    }

    /// Raises the version of this node above that of a record that reports it as suspect or dead.
    fn refute(&mut self, record: &MemberRecord, commands: &mut Vec<MembershipCommand>) {
        let is_suspicion = matches!(record.status, MemberStatus::Suspect | MemberStatus::Dead);
        let is_alive = self.local.status == MemberStatus::Alive;
        if is_suspicion && is_alive && record.version >= self.local.version {
            self.local.version = record.version + 1;
            self.flood(None, std::slice::from_ref(&self.local), commands);
        }
    }

    /// Sends records to all linked peers except `source`.
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
        let declared_dead = self.members.expire(now);
        self.flood(None, &declared_dead, commands);
        self.close_timed_out_links(now, commands);
        if self.next_ping_at.is_none_or(|next_ping_at| next_ping_at <= now) {
            self.next_ping_at = Some(now + Duration::from_millis(self.settings.ping_period_ms));
            self.send_pings(commands);
            self.update_links(now, commands);
            self.dial_seeds(now, commands);
            self.backoffs.retain(|_, backoff| backoff.next_dial_at + BACKOFF_RETENTION > now);
        }
    }

    fn send_pings(&self, commands: &mut Vec<MembershipCommand>) {
        let digest = self.digest();
        let pings = self.links.keys().cloned();
        commands.extend(pings.map(|to| MembershipCommand::SendPing { to, digest }));
    }

    fn close_timed_out_links(&mut self, now: Instant, commands: &mut Vec<MembershipCommand>) {
        let is_timed_out = |link: &Link| link.receive_deadline <= now;
        let timed_out: Vec<InstanceId> = self
            .links
            .iter()
            .filter(|(_, link)| is_timed_out(link))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in timed_out {
            commands.push(MembershipCommand::Close(peer.clone()));
            self.close_link(&peer, false, now, commands);
        }
    }

    /// Dials selected partners and the tree parent if there is no link, and closes surplus links. In
    /// a partial mesh, stopping members keep the links that they dial themselves.
    fn update_links(&mut self, now: Instant, commands: &mut Vec<MembershipCommand>) {
        let live: Vec<&MemberRecord> = self.live_members().collect();
        let MembershipSettings { max_full_mesh_nodes, partial_mesh_partners, .. } = self.settings;
        let mut partners =
            choose_partners(&self.local, &live, max_full_mesh_nodes, partial_mesh_partners);
        if !self.exceeds_full_mesh() {
            partners.extend(self.stopping_members());
        }
        let parent = self.tree_place().parent;
        let is_parent = |member: &&&MemberRecord| parent.as_ref() == Some(&member.instance);
        let needed_peers: BTreeSet<InstanceId> =
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
        self.close_surplus_links(&needed_peers, now, commands);
    }

    /// Closes links that this node dialed and that have been surplus for the grace period.
    fn close_surplus_links(
        &mut self,
        needed_peers: &BTreeSet<InstanceId>,
        now: Instant,
        commands: &mut Vec<MembershipCommand>,
    ) {
        let close_at = now + Duration::from_millis(self.settings.surplus_link_grace_ms);
        let mut closed = Vec::new();
        for (peer, link) in &mut self.links {
            if !link.dialed || needed_peers.contains(peer) {
                link.surplus_close_at = None;
            } else if *link.surplus_close_at.get_or_insert(close_at) <= now {
                closed.push(peer.clone());
            }
        }
        for peer in closed {
            self.links.remove(&peer);
            commands.push(MembershipCommand::Close(peer));
        }
    }

    /// Dials seed addresses at which no live member is known, a few per call.
    fn dial_seeds(&mut self, now: Instant, commands: &mut Vec<MembershipCommand>) {
        let mut dials = 0;
        for _ in 0..self.seeds.len() {
            let address = self.seeds[self.next_seed_index % self.seeds.len()];
            self.next_seed_index = (self.next_seed_index + 1) % self.seeds.len();
            let is_known =
                address == self.local.address || self.members.live_by_address(address).is_some();
            if is_known || !self.may_dial(address, now) {
                continue;
            }
            self.dial(address, now, commands);
            dials += 1;
            if dials == self.settings.max_seed_dials_per_period {
                return;
            }
        }
    }

    /// Announces that this node is stopping.
    fn stop(&mut self, commands: &mut Vec<MembershipCommand>) {
        self.local.is_stopping = true;
        self.local.version += 1;
        self.flood(None, std::slice::from_ref(&self.local), commands);
    }

    /// Announces that this node left and closes all links.
    fn leave(&mut self, commands: &mut Vec<MembershipCommand>) {
        self.local.status = MemberStatus::Left;
        self.flood(None, std::slice::from_ref(&self.local), commands);
        let links = std::mem::take(&mut self.links);
        commands.extend(links.into_keys().map(MembershipCommand::Close));
    }
}
