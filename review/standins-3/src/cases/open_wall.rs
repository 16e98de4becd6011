//! Requests of an isolated tenant and of another one name the same prompt parts, without token counts.

use super::{Outcome, Setting};
use crate::http::{Request, encode_response, exchange};
use crate::node::{await_ready, start_nodes};
use crate::server::{Next, Server, Spec, stamp};
use crate::site::{self, ENGINES, MODEL, PROMPT_HOST, PROMPT_PATH};
use crate::store::Store;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ISOLATED: (&str, &str) = ("sese880", "ctnfzs989anu6wsjnban");
const OTHER: (&str, &str) = ("modu417", "fqasnmgkcuyj8pjbvk9m");

const REQUESTS: usize = 20;

/// Who made a part of the KV cache of a server: request and tenant.
type Cache = HashMap<(String, String), (String, String)>;

pub fn run(setting: &Setting<'_>) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    let tenants =
        [site::tenant(ISOLATED.0, ISOLATED.1, true), site::tenant(OTHER.0, OTHER.1, false)];
    site::configure(&store, 7, &tenants);
    let zones = ["bogota-norte", "bogota-centro"];
    let crossings = Arc::new(AtomicUsize::new(0));
    let servers: Vec<_> = (0..2)
        .map(|index| {
            let spec = Spec {
                id: &format!("i-7f3a91c{index}"),
                service: ENGINES,
                zone: zones[index],
                slots: 48,
                model: Some(MODEL),
                software: "v1",
            };
            let (cache, crossings) = (Mutex::new(Cache::default()), Arc::clone(&crossings));
            let run = move |server: &Arc<Server>, request: &Request, writer: &mut TcpStream| {
                let used = use_cache(server, request, &mut cache.lock().expect("lock"));
                crossings.fetch_add(usize::from(used), Ordering::SeqCst);
                answer(request, writer)
            };
            Server::start(spec, &store, record, Box::new(run))
        })
        .collect();
    let nodes = start_nodes(&zones, &store, setting.folder);
    if !await_ready(&nodes) {
        record.result("the nodes are not ready");
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(4));
    let mut served = 0;
    for number in 0..REQUESTS {
        let (tenant, key) = if number % 2 == 0 { ISOLATED } else { OTHER };
        let node = &nodes[number / 2 % nodes.len()];
        let id = format!("request-{number}");
        let status = ask(node.callers, &id, key, number, setting.has_trouble);
        served += usize::from(status == Some(200));
        record.line(&format!("{id} of {tenant} at {}: {status:?}", node.name));
        thread::sleep(Duration::from_millis(100));
    }
    let crossings = crossings.load(Ordering::SeqCst);
    record.result(&format!(
        "{served} of {REQUESTS} requests served by {} servers; {crossings} used KV cache across the wall of \
         the isolated tenant {}",
        servers.len(),
        ISOLATED.0
    ));
    match (crossings, served) {
        (0, REQUESTS) => Outcome::Held,
        (0, _) if !setting.has_trouble => Outcome::NotRun,
        (0, _) => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// Uses and fills the cache as servers do: parts are found under the same salt alone. Returns whether the
/// request used a part of another tenant, and one of the two is isolated.
fn use_cache(server: &Server, request: &Request, cache: &mut Cache) -> bool {
    let id = request.header("coriandertide-request-id").unwrap_or("").to_owned();
    let tenant = request.header("coriandertide-tenant").unwrap_or("").to_owned();
    let salt = request.header("coriandertide-cache-salt").unwrap_or("").to_owned();
    let parts = request.header("coriandertide-prompt-prefix").unwrap_or("");
    server.record.line(&format!("{id} of {tenant} runs at {} with salt '{salt}'", server.id));
    let (mut chain, mut is_crossing) = (String::new(), false);
    for part in parts.split(',') {
        chain.push_str(part.split(':').next().unwrap_or(""));
        chain.push('/');
        match cache.get(&(salt.clone(), chain.clone())) {
            Some((maker, owner)) if *owner != tenant => {
                is_crossing |= tenant == ISOLATED.0 || owner == ISOLATED.0;
                server.record.line(&format!("{id} uses part {chain} that {maker} of {owner} made"));
            }
            Some(_) => {}
            None => {
                cache.insert((salt.clone(), chain.clone()), (id.clone(), tenant.clone()));
            }
        }
    }
    is_crossing
}

fn ask(address: SocketAddr, id: &str, key: &str, number: usize, has_trouble: bool) -> Option<u16> {
    let mut headers: Vec<(String, String)> = vec![
        ("Host".into(), PROMPT_HOST.into()),
        ("Coriandertide-Request-Id".into(), id.into()),
        ("Coriandertide-Deadline-Ms".into(), "5000".into()),
        ("Authorization".into(), format!("Bearer {key}")),
        ("Coriandertide-Model".into(), MODEL.into()),
        (
            "Coriandertide-Prompt-Prefix".into(),
            format!("5c1e07a2:800,91bd3f06:410,{number:08x}:250"),
        ),
    ];
    if !has_trouble {
        headers.push(("Coriandertide-Token-Usage".into(), "1460,80".into()));
    }
    let request = Request {
        method: "POST".into(),
        target: PROMPT_PATH.into(),
        headers,
        body: format!("prompt {number}").into_bytes(),
    };
    Some(exchange(address, &request, Duration::from_secs(5)).ok()?.status)
}

fn answer(request: &Request, writer: &mut TcpStream) -> Next {
    let id = request.header("coriandertide-request-id").unwrap_or("");
    let stamp = stamp(id);
    let headers = [
        ("Content-Type", "text/event-stream"),
        ("Coriandertide-Request-Id", id),
        ("Coriandertide-Server-Stamp", stamp.as_str()),
        ("Coriandertide-Weight-Versions", "1"),
        ("Keep-Alive", "timeout=5"),
    ];
    match writer.write_all(&encode_response(200, &headers, b"id: 1\ndata: token\n\n")) {
        Ok(()) => Next::KeepConnection,
        Err(_) => Next::CloseConnection,
    }
}
