//! A new software version comes and goes while one partition of the store is down; then all nodes are
//! killed at once. Clients take their streams up again.

use super::{EVENTS, STREAMS, judge, settings, start_clients, start_site};
use crate::Verdict;
use crate::engine::Engine;
use crate::record::Record;
use std::thread;
use std::time::Duration;

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let is_store_whole = std::env::var("STORE").is_ok_and(|value| value == "whole");
    let mut site = start_site(3, record)?;
    if has_trouble && !is_store_whole {
        site.store.set_down("keyed.stream-versions", true);
        record.add("partition 0 of keyed.stream-versions is down: 503");
    }
    thread::sleep(Duration::from_millis(300));
    let new = Engine::start(settings("i-new1", "z1", "v2", EVENTS), &site.store, record);
    thread::sleep(Duration::from_millis(400));
    let clients = start_clients(&site, STREAMS, record);
    new.remove_entry();
    record.add("the entry of i-new1 is removed; it goes on for some seconds");
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        site.kill_nodes();
        record.add("all nodes are killed");
        thread::sleep(Duration::from_millis(500));
        site.store.set_down("keyed.stream-versions", false);
        record.add("the store is whole");
        site.start_nodes(false)?;
        record.add("all nodes are ready again");
    }
    judge(clients, &[&new], &site, record)
}
