//! Limits that servers name for all nodes together: a model of many nodes with delays, cuts and
//! restarts, and the rules for single answers.

use super::fixture::{fleet, ms, plain_query};
use coriandertide::decision::relay::{LimitNotice, RequestRate, ServerLimits, UnavailableReason};
use coriandertide::types::{InstanceId, ServerId};
use fastrand::Rng;
use smol_str::{SmolStr, format_smolstr};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const SERVER: SmolStr = SmolStr::new_static("s0");
const INCARNATION: u64 = 1;
const SEEDS: u64 = 10;
const LARGE_SITE_SEEDS: u64 = 2;
/// When the server begins to name its limit, and when it ends.
const NEED_MS: std::ops::Range<u64> = 2_000..22_000;
const END_MS: u64 = 32_000;
/// Time in which nodes in touch must know what others know.
const CONTACT_MS: u64 = 3_000;
/// Time after the first answer that names the limit in which the nodes hear of it.
const HEARD_MS: u64 = 500;
const WINDOW_MS: u64 = 4_000;
/// Time in which the nodes notice that another one was cut off, or is back.
const MEMBERSHIP_DELAY_MS: u64 = 800;
const RATES: [f64; 5] = [0.0, 0.3, 1.6, 7.5, 40.0];
const SITES: [usize; 3] = [6, 68, 295];

fn rate(per_s: f64) -> RequestRate {
    RequestRate::try_from(per_s).unwrap()
}

enum Event {
    /// A node has a request for the server, if it may send it.
    Demand(usize),
    /// An answer to a request arrives that was sent at a time, with the limit if it names one.
    Answer {
        node: usize,
        sent_at: u64,
        names: bool,
    },
    Notice {
        node: usize,
        notice: LimitNotice,
    },
    /// A node starts anew, without what it knew.
    Restart(usize),
    Cut(usize),
    Heal(usize),
    /// The live nodes as the nodes see them have changed.
    Members,
}

struct Node {
    limits: ServerLimits,
    is_cut: bool,
    /// When it last started or was last cut off.
    disturbed_at: Option<u64>,
}

struct World {
    rng: Rng,
    start: Instant,
    at: u64,
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
    nodes: Vec<Node>,
    per_s: f64,
    /// Requests that reached the server, with whether their node was in touch.
    arrivals: Vec<(u64, bool)>,
    first_named_at: Option<u64>,
}

impl World {
    fn run(seed: u64, nodes: usize, per_s: f64, is_disturbed: bool) -> Self {
        let new_node =
            || Node { limits: ServerLimits::default(), is_cut: false, disturbed_at: None };
        let mut world = Self {
            rng: Rng::with_seed(seed),
            start: Instant::now(),
            at: 0,
            events: BTreeMap::new(),
            number: 0,
            nodes: (0..nodes).map(|_| new_node()).collect(),
            per_s,
            arrivals: Vec::new(),
            first_named_at: None,
        };
        world.set_members();
        for _ in 0..END_MS / 5 {
            let (at, node) = (world.rng.u64(0..END_MS), world.rng.usize(0..nodes));
            world.schedule(at, Event::Demand(node));
        }
        for _ in 0..if is_disturbed { nodes / 6 } else { 0 } {
            let (at, node) = (world.rng.u64(0..END_MS), world.rng.usize(0..nodes));
            match world.rng.bool() {
                true => world.schedule(at, Event::Restart(node)),
                false => {
                    let until = at + world.rng.u64(500..6_000);
                    world.schedule(at, Event::Cut(node));
                    world.schedule(until, Event::Heal(node));
                }
            }
        }
        while let Some(((at, _), event)) = world.events.pop_first() {
            world.at = at;
            world.handle(event);
        }
        world
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    fn time(&self, at: u64) -> Instant {
        self.start + ms(at)
    }

    fn handle(&mut self, event: Event) {
        let now = self.time(self.at);
        match event {
            Event::Demand(node) => self.send(node),
            Event::Answer { node, sent_at, names } => {
                let named = names.then(|| rate(self.per_s));
                let sent_at = self.time(sent_at);
                let limits = &mut self.nodes[node].limits;
                let learned = limits.learn(&SERVER, INCARNATION, named, sent_at, now);
                if names {
                    self.first_named_at.get_or_insert(self.at);
                }
                if let Some(announcement) = learned {
                    self.tell(node, &announcement.notice);
                }
            }
            Event::Notice { node, notice } => {
                if !self.nodes[node].is_cut {
                    self.nodes[node].limits.merge(&notice, now);
                }
            }
            Event::Restart(node) => {
                self.nodes[node].limits = ServerLimits::default();
                self.nodes[node].disturbed_at = Some(self.at);
                self.set_members();
                self.greet(node);
            }
            Event::Cut(node) => {
                self.nodes[node].is_cut = true;
                self.schedule(self.at + MEMBERSHIP_DELAY_MS, Event::Members);
            }
            Event::Heal(node) => {
                self.nodes[node].is_cut = false;
                self.nodes[node].disturbed_at = Some(self.at);
                self.schedule(self.at + MEMBERSHIP_DELAY_MS, Event::Members);
                self.greet(node);
            }
            Event::Members => self.set_members(),
        }
    }

    fn send(&mut self, node: usize) {
        let now = self.time(self.at);
        let sender = &mut self.nodes[node];
        let may_send = sender.limits.next_permit_at(&SERVER, INCARNATION, now).is_none();
        let has_permit = sender.limits.try_take(&SERVER, INCARNATION, now);
        assert_eq!(may_send, has_permit);
        if !has_permit {
            return;
        }
        let is_disturbed = sender.disturbed_at.is_some_and(|at| self.at < at + CONTACT_MS);
        let is_in_touch = !sender.is_cut && !is_disturbed;
        let sent_at = self.at;
        let arrived_at = sent_at + self.rng.u64(1..20);
        self.arrivals.push((arrived_at, is_in_touch));
        let begun_at = arrived_at + self.rng.u64(30..400);
        let names = NEED_MS.contains(&begun_at);
        self.schedule(begun_at + 5, Event::Answer { node, sent_at, names });
    }

    /// A notice reaches all other nodes, over some hops where there are many.
    fn tell(&mut self, from: usize, notice: &LimitNotice) {
        let max_delay_ms = if self.nodes.len() > 8 { 200 } else { 40 };
        if self.nodes[from].is_cut {
            return;
        }
        for node in (0..self.nodes.len()).filter(|node| *node != from) {
            let delay_ms = self.rng.u64(5..max_delay_ms);
            let age_ms = notice.age_ms + delay_ms / 2;
            let notice = LimitNotice { age_ms, ..notice.clone() };
            self.schedule(self.at + delay_ms, Event::Notice { node, notice });
        }
    }

    /// A node that is linked again hears what another one knows.
    fn greet(&mut self, node: usize) {
        let other = (node + 1) % self.nodes.len();
        for notice in self.nodes[other].limits.notices(self.time(self.at)) {
            self.schedule(self.at + 100, Event::Notice { node, notice });
        }
    }

    fn set_members(&mut self) {
        let now = self.time(self.at);
        let id = |node: usize| -> InstanceId { format_smolstr!("n{node}") };
        let linked: Vec<InstanceId> =
            (0..self.nodes.len()).filter(|node| !self.nodes[*node].is_cut).map(id).collect();
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let alone = [id(index)];
            let live = if node.is_cut { &alone[..] } else { &linked };
            node.limits.set_nodes(&id(index), live, now);
        }
    }

    /// Returns the arrivals between two times that nodes in touch sent.
    fn counted(&self, from: u64, until: u64) -> usize {
        let is_counted =
            |(at, is_in_touch): &&(u64, bool)| *is_in_touch && (from..until).contains(at);
        self.arrivals.iter().filter(is_counted).count()
    }

    fn most_in_window(&self) -> usize {
        let from = self.first_named_at.unwrap() + HEARD_MS;
        let starts = self.arrivals.iter().map(|(at, _)| *at);
        let starts = starts.filter(|at| (from..NEED_MS.end).contains(at));
        starts.map(|at| self.counted(at, (at + WINDOW_MS).min(NEED_MS.end))).max().unwrap_or(0)
    }
}

/// Guards against nodes whose requests add up to more than a server takes, among cuts and restarts.
#[test]
fn the_sum_over_all_nodes_stays_within_the_limit() {
    for (nodes, per_s, seed) in runs() {
        let world = World::run(seed, nodes, per_s, true);
        let allowed = 1.5 * per_s * WINDOW_MS as f64 / 1_000.0 + 5.0;
        let most = world.most_in_window();
        assert!(most as f64 <= allowed, "{nodes} nodes, {per_s}/s, seed {seed}: {most}");
    }
}

/// Guards against limits that are obeyed by sending next to nothing, and that outlast the need.
#[test]
fn most_of_a_limit_is_used_and_its_end_is_noticed() {
    for (nodes, per_s, seed) in runs() {
        let world = World::run(seed, nodes, per_s, false);
        let used = world.counted(NEED_MS.start + CONTACT_MS, NEED_MS.end);
        let named = per_s * (NEED_MS.end - NEED_MS.start - CONTACT_MS) as f64 / 1_000.0;
        // The demand is 200 requests a second, so that one of 295 nodes has 0.7.
        let share = if nodes > 6 { 0.3 } else { 0.6 };
        assert!(
            used as f64 >= (named * share).floor(),
            "{nodes} nodes, {per_s}/s, seed {seed}: {used}"
        );
        let free = world.counted(END_MS - 1_000, END_MS);
        assert!(free >= 150, "{nodes} nodes, {per_s}/s, seed {seed}: {free} in the last second");
    }
}

fn runs() -> impl Iterator<Item = (usize, f64, u64)> {
    let sites = SITES.into_iter().flat_map(|nodes| RATES.map(|per_s| (nodes, per_s)));
    sites.flat_map(|(nodes, per_s)| {
        let seeds = if nodes > 100 { LARGE_SITE_SEEDS } else { SEEDS };
        (0..seeds).map(move |seed| (nodes, per_s, seed))
    })
}

fn limits_of_six(now: Instant) -> ServerLimits {
    let nodes: Vec<InstanceId> = (0..6).map(|node| format_smolstr!("n{node}")).collect();
    let mut limits = ServerLimits::default();
    limits.set_nodes(&nodes[0], &nodes, now);
    limits
}

/// Guards against an answer that was under way and ends or revives a limit.
#[test]
fn answers_count_in_the_order_in_which_their_requests_were_sent() {
    let start = Instant::now();
    let at = |millis: u64| start + ms(millis);
    let mut limits = limits_of_six(start);
    let is_limited = |limits: &ServerLimits, now| limits.cost_ms(&SERVER, INCARNATION, now) > 0.0;
    assert!(limits.learn(&SERVER, INCARNATION, None, at(0), at(10)).is_none());
    assert!(limits.learn(&SERVER, INCARNATION, Some(rate(2.0)), at(20), at(50)).is_some());
    assert!(limits.learn(&SERVER, INCARNATION, None, at(10), at(60)).is_none());
    assert_eq!(limits.notices(at(60))[0].rate, Some(rate(2.0)));
    assert!(limits.learn(&SERVER, INCARNATION, None, at(30), at(70)).is_some());
    assert!(limits.learn(&SERVER, INCARNATION, Some(rate(2.0)), at(25), at(80)).is_none());
    assert!(limits.notices(at(80)).is_empty());
    assert!(is_limited(&limits, at(80)), "the nodes return one after the other");
    assert!(!is_limited(&limits, at(5_000)));
}

/// Guards against a limit that a restarted server is held to, or one that an older report revives.
#[test]
fn another_incarnation_is_another_server() {
    let now = Instant::now();
    let mut limits = limits_of_six(now);
    limits.learn(&SERVER, 2, Some(rate(0.0)), now, now);
    assert_eq!(limits.next_permit_at(&SERVER, 3, now), None);
    assert!(limits.learn(&SERVER, 1, Some(rate(5.0)), now + ms(1), now + ms(1)).is_none());
    assert_eq!(limits.notices(now)[0].incarnation, 2);
    limits.learn(&SERVER, 3, Some(rate(5.0)), now + ms(2), now + ms(2));
    assert_eq!(limits.notices(now + ms(2))[0].incarnation, 3);
}

/// Guards against limits that cost something although no node would send as much.
#[test]
fn a_limit_above_what_is_sent_costs_nothing() {
    let now = Instant::now();
    let mut limits = limits_of_six(now);
    limits.learn(&SERVER, INCARNATION, Some(rate(1_000.0)), now, now);
    for request in 1..200 {
        let at = now + ms(10 * request);
        assert!(limits.try_take(&SERVER, INCARNATION, at));
        let changed = rate(1_000.0 + (request % 2 * 50) as f64);
        let learned = limits.learn(&SERVER, INCARNATION, Some(changed), at, at);
        assert!(learned.is_none(), "small changes are no news");
    }
}

/// Guards against partners that are told each change of a limit that changes with each answer, and
/// against an end that they are not told.
#[test]
fn partners_are_told_of_changes_a_few_times_a_second_and_of_the_end_at_once() {
    let now = Instant::now();
    let mut limits = limits_of_six(now);
    let mut told = 0;
    for answer in 0..1_000 {
        let at = now + ms(answer);
        let named = Some(rate(if answer % 2 == 0 { 2.0 } else { 9.0 }));
        told += usize::from(limits.learn(&SERVER, INCARNATION, named, at, at).is_some());
    }
    assert!(told <= 5, "{told} announcements");
    let end = now + ms(1_000);
    let ended = limits.learn(&SERVER, INCARNATION, None, end, end).unwrap();
    assert_eq!((ended.notice.rate, ended.is_refresh), (None, false));
}

/// Guards against a limit that nothing ends, since no node sends anything that could be answered.
#[test]
fn a_limit_that_is_not_named_again_ends() {
    let now = Instant::now();
    let mut limits = limits_of_six(now);
    limits.learn(&SERVER, INCARNATION, Some(rate(0.0)), now, now);
    let later = now + Duration::from_secs(30);
    assert_eq!(limits.next_permit_at(&SERVER, INCARNATION, later), None);
    limits.remove_free(later);
    assert!(limits.is_empty());
}

/// Guards against values that are no rates, and against a panic on absurd ones.
#[test]
fn rates_are_checked() {
    for invalid in [-0.1, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert!(RequestRate::try_from(invalid).is_err());
    }
    let now = Instant::now();
    for absurd in [f64::MAX, 1e300, f64::MIN_POSITIVE, -0.0] {
        let mut limits = limits_of_six(now);
        limits.learn(&SERVER, INCARNATION, Some(rate(absurd)), now, now);
        let at = now + ms(60_000);
        assert!(limits.try_take(&SERVER, INCARNATION, at));
    }
}

/// Guards against callers that wait for a server which takes nothing more, or are sent away without
/// the time at which it does.
#[test]
fn requests_go_to_other_servers_and_are_refused_if_none_is_left() {
    let now = Instant::now();
    let mut fleet = fleet(2, 1);
    let name = |fleet: &mut coriandertide::decision::relay::Fleet, server: &ServerId| {
        fleet.limits.learn(server, 1, Some(rate(1.0)), now, now);
    };
    name(&mut fleet, &"s0".into());
    assert_eq!(fleet.choose(plain_query(), now).unwrap().server, "s1");
    name(&mut fleet, &"s1".into());
    let error = fleet.choose(plain_query(), now).unwrap_err();
    assert_eq!(error.reason, UnavailableReason::Limited);
    assert!(error.retry_at > now && error.retry_at <= now + ms(1_500));
}

/// Guards against a limit that a server names anew long after it ended, and that is not obeyed.
#[test]
fn a_limit_that_is_named_anew_is_obeyed() {
    let now = Instant::now();
    let mut limits = ServerLimits::default();
    limits.learn(&SERVER, INCARNATION, Some(rate(1.0)), now, now);
    let later = now + Duration::from_secs(100_000);
    limits.learn(&SERVER, INCARNATION, Some(rate(1.0)), later, later);
    let sent =
        (0..100).filter(|request| limits.try_take(&SERVER, INCARNATION, later + ms(10 * request)));
    assert!(sent.count() <= 5);
}
