//! A server starts again under its id with a new software version while the store is down. Some seconds
//! later the operator names new weights, and the nodes move the streams off the servers that load them.

use super::{STREAMS, judge, start_clients, start_site};
use crate::Verdict;
use crate::engine::MODEL;
use crate::record::Record;
use std::thread;
use std::time::Duration;

pub fn run(has_trouble: bool, record: &Record) -> Result<Verdict, String> {
    let site = start_site(3, record)?;
    let upgraded = &site.old[0];
    if has_trouble {
        site.store.set_all_down(true);
        record.add("the store is down: 503 to all");
    }
    upgraded.end();
    record.add("the process of i-old1 (v1) ends");
    thread::sleep(Duration::from_millis(500));
    let new = upgraded.restart("v2").map_err(|error| error.to_string())?;
    record.add("i-old1 starts again under its id with version v2");
    thread::sleep(Duration::from_millis(300));
    let clients = start_clients(&site, STREAMS, record);
    thread::sleep(Duration::from_millis(1_500));
    site.store.set_all_down(false);
    record.add("the store is up");
    thread::sleep(Duration::from_millis(1_000));
    let weights = format!("{{\"Model\":\"{MODEL}\",\"Version\":2}}");
    site.store.put("keyed.op", &format!("version/{MODEL}"), &weights);
    record.add("the operator names weights 2");
    judge(clients, &[&new], &site, record)
}
