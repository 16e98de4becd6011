//! A new software version comes and goes while one node is frozen. After the node has woken, the others are
//! killed at once, and clients take their streams up at the node that is left.

use super::{EVENTS, judge, settings, start_clients, start_site};
use crate::Verdict;
use crate::engine::Engine;
use crate::node::Node;
use crate::record::Record;
use std::thread;
use std::time::Duration;

const NODES: usize = 8;

/// Streams that clients ask for while the node is frozen.
const STREAMS: usize = 48;

/// Time without a long read after which a node counts as one that does not follow the entries.
const READ_PERIOD: Duration = Duration::from_secs(3);

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let mut site = start_site(NODES, record)?;
    site.store.keep_newest_alone();
    let reads = |node: &Node| site.store.reads(node.store());
    let before: Vec<usize> = site.nodes.iter().map(&reads).collect();
    thread::sleep(READ_PERIOD);
    // Three nodes follow the servers' entries with long reads; the others hear of them from these.
    let index = (0..NODES).find(|index| reads(&site.nodes[*index]) == before[*index]);
    let index = index.ok_or("each node reads the entries")?;
    let frozen_name = site.nodes[index].name.clone();
    let address = site.ready.lock().unwrap()[index].take();
    if has_trouble {
        site.nodes[index].signal("STOP")?;
        record.add(format!("{frozen_name} is frozen"));
    }
    thread::sleep(Duration::from_millis(200));
    let new = Engine::start(settings("i-new1", "z1", "v2", EVENTS), &site.store, record);
    thread::sleep(Duration::from_millis(400));
    let clients = start_clients(&site, STREAMS, record);
    new.remove_entry();
    record.add("the entry of i-new1 is removed; it goes on for some seconds");
    thread::sleep(Duration::from_millis(1_200));
    if has_trouble {
        site.nodes[index].signal("CONT")?;
        record.add(format!("{frozen_name} wakes"));
    }
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        if !site.nodes[index].is_ready() {
            return Err("the node that woke is not ready".to_owned());
        }
        for (other, node) in site.nodes.iter_mut().enumerate() {
            if other != index {
                node.kill();
            }
        }
        let mut ready = site.ready.lock().unwrap();
        ready.fill(None);
        ready[index] = address;
        record.add("all other nodes are killed");
    }
    judge(clients, &[&new], &site, record)
}
