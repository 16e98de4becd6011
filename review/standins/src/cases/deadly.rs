//! One part of prompts crashes each server that begins to write an answer on it; sound requests share
//! its caller and its other parts.

use super::callers::{Balancer, send};
use crate::server::MODEL;
use crate::site::{Site, configuration};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CONTACT: Duration = Duration::from_millis(3_000);
const TENANT: &str = r#"{"Name":"t1","ApiKeys":["key-1"],"Priority":1,"Isolated":false}"#;

fn env(name: &str, default: &str) -> String {
    std::env::var(name).unwrap_or(default.to_owned())
}

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let nodes: usize = env("NODES", "3").parse().unwrap();
    let servers: usize = env("SERVERS", "4").parse().unwrap();
    let callers: usize = env("CALLERS", "12").parse().unwrap();
    let down_ms: u64 = env("DOWN_MS", "2000").parse().unwrap();
    let dead_ms: u64 = env("DEAD_MS", "700").parse().unwrap();
    let (dead, sound) = (env("DEAD", "aa:800,dead:400"), env("SOUND", "aa:800,bb:400"));
    let site = Arc::new(Site::start(folder, nodes));
    site.store.put("keyed.op", "config", &configuration(1, TENANT));
    for number in 0..servers {
        match std::env::var_os("UNFRAMED") {
            Some(_) => site.start_unframed_server(&format!("s{number}"), 10, 40),
            None => site.start_server(&format!("s{number}"), "v1", 10, 40),
        }
    }
    site.await_ready();
    let balancer = Balancer::start(&site);
    thread::sleep(Duration::from_secs(3));
    let is_over = Arc::new(AtomicBool::new(false));
    site.keep_servers(Duration::from_millis(down_ms), Arc::clone(&is_over));
    let begun: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let next = Arc::new(AtomicU64::new(0));
    let prompt = |shared: &str, id: &str| {
        vec![
            ("Coriandertide-Model".to_owned(), MODEL.to_owned()),
            ("Coriandertide-Token-Usage".to_owned(), "1460,80".to_owned()),
            ("Coriandertide-Prompt-Prefix".to_owned(), format!("{shared},{id}:250")),
        ]
    };
    let mut threads = Vec::new();
    for _ in 0..callers {
        let (site, balancer, is_over, begun, next, sound) =
            (site.clone(), balancer.clone(), is_over.clone(), begun.clone(), next.clone(), sound.clone());
        threads.push(thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("a{}", next.fetch_add(1, Ordering::SeqCst));
                let node = balancer.choose(None);
                let sent_at = Instant::now();
                let answer = send(&site, node, &id, "key-1", prompt(&sound, &id), None, sent_at + Duration::from_secs(15));
                let has_begun = answer.status == 200 && !answer.events.is_empty();
                site.record.line(&format!("client {id} node={node} status={} events={}", answer.status, answer.events.len()));
                begun.lock().unwrap().push((sent_at, has_begun));
                thread::sleep(Duration::from_millis(if has_begun { 100 } else { 300 }));
            }
        }));
    }
    thread::sleep(Duration::from_secs(8));
    let began_at = Instant::now();
    if has_trouble {
        let (site, balancer, is_over) = (site.clone(), balancer.clone(), is_over.clone());
        threads.push(thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let (site, dead, node) = (site.clone(), dead.clone(), balancer.choose(None));
                thread::spawn(move || {
                    let id = format!("d{number}");
                    let answer = send(&site, node, &id, "key-1", prompt(&dead, &id), None, Instant::now() + Duration::from_secs(15));
                    site.record.line(&format!("client {id} node={node} status={}", answer.status));
                });
                thread::sleep(Duration::from_millis(dead_ms));
            }
        }));
    }
    thread::sleep(Duration::from_secs(env("TEST_S", "35").parse().unwrap()));
    is_over.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    site.stop();
    let text = std::fs::read_to_string(folder.join("record.txt")).unwrap_or_default();
    let crashes: Vec<f64> = text.lines().filter(|l| l.contains("and crashes")).filter_map(|l| l.split_whitespace().next()?.parse().ok()).collect();
    let start: f64 = text.lines().filter(|l| l.contains("client d")).filter_map(|l| l.split_whitespace().next()?.parse().ok()).next().unwrap_or(0.0);
    let fifth = crashes.get(4).or(crashes.last()).copied().unwrap_or(start);
    let begun = begun.lock().unwrap();
    let share = |from: Instant, to: Instant| {
        let all: Vec<bool> = begun.iter().filter(|(at, _)| *at >= from && *at < to).map(|(_, b)| *b).collect();
        (all.len(), all.iter().filter(|b| **b).count())
    };
    let calm = share(began_at - Duration::from_secs(8), began_at);
    let after_s = (fifth - start).max(0.0);
    let from = began_at + Duration::from_secs_f64(after_s) + 2 * CONTACT;
    let later = share(from, from + Duration::from_secs(60));
    println!("crashes {} fifth {after_s:.1} s after; calm {calm:?} later {later:?}", crashes.len());
    let rate = |(all, begun): (usize, usize)| begun as f64 / all.max(1) as f64;
    rate(later) >= rate(calm) / 2.0
}
