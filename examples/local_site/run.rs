//! One run: a site, its callers and its faults under one policy.

use crate::callers::Run;
use crate::fault_report::{FaultReadings, FaultReport, SETTLE_TIME};
use crate::faults;
use crate::omniscient::Omniscient;
use crate::options::{Fault, Options, PolicyChoice};
use crate::outcome::{Ending, Outcomes};
use crate::preset::Preset;
use crate::report::{Measured, PolicyReport, WARM_UP_SHARE};
use crate::site::Site;
use crate::workload::{MODEL_SHARE, Workload};
use anyhow::ensure;
use bytes::Bytes;
use coriandertide::adapters::http_client;
use http::Request;
use http_body_util::Full;
use smol::{Executor, Timer};
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Once;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Threads that run the callers.
const CALLER_THREADS: usize = 2;
/// Length of a run that names no number of requests.
const DEFAULT_RUN_S: f64 = 20.0;
/// Time for the nodes to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the last calls to end.
const END_TIMEOUT: Duration = Duration::from_secs(25);
/// Period of progress lines.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);
/// Most bytes of a page of metrics.
const METRICS_LIMIT_BYTES: usize = 4 << 20;

static EXECUTOR: Executor<'static> = Executor::new();
static START: Once = Once::new();

/// Runs the site under `policy` and returns its figures.
pub fn run_policy(policy: PolicyChoice, options: &Options) -> anyhow::Result<PolicyReport> {
    START.call_once(start_threads);
    let preset = Preset::of(options.site);
    let rate_per_s = preset.capacity_per_s() * options.load / MODEL_SHARE;
    let requests = options.requests.unwrap_or((rate_per_s * DEFAULT_RUN_S) as usize);
    let site = Site::start(preset, policy, options)?;
    let probe = EXECUTOR.spawn(site.balancer.clone().probe());
    let omniscient = match policy {
        PolicyChoice::Omniscient => Some(Omniscient::new(&preset)),
        _ => None,
    };
    if omniscient.is_none() {
        wait_ready(&site, options.nodes)?;
    }
    let run = Arc::new(Run {
        site,
        workload: Workload::new(&preset, options.seed, requests, rate_per_s, &options.fault),
        omniscient,
        outcomes: Outcomes::default(),
        sent: AtomicUsize::new(0),
        started_at: Instant::now(),
    });
    let sending = EXECUTOR.spawn(send_arrivals(Arc::clone(&run)));
    let warm_up = spawn_warm_up(&run);
    let faulting = start_faults(&run, options);
    watch(&run, policy);
    let readings = faulting.join().map_err(|_| anyhow::anyhow!("the fault thread panicked"))??;
    drop(sending);
    let warm_up = smol::block_on(warm_up);
    let measured = Measured {
        warm_up,
        link_bytes: smol::block_on(link_bytes(&run.site.node_addresses())),
        fault: FaultReport::new(&run, &options.fault, readings),
    };
    let report = PolicyReport::new(&run, policy, options, measured);
    drop(probe);
    for node in run.site.take_nodes() {
        node.kill();
    }
    Ok(report)
}

fn start_threads() {
    for index in 0..CALLER_THREADS {
        thread::Builder::new()
            .name(format!("caller-{index}"))
            .spawn(|| smol::block_on(EXECUTOR.run(pending::<()>())))
            .expect("a thread can be started");
    }
}

fn wait_ready(site: &Site, nodes: usize) -> anyhow::Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while site.balancer.ready_nodes() < nodes {
        let ready = site.balancer.ready_nodes();
        ensure!(Instant::now() < deadline, "only {ready} of {nodes} nodes became ready");
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

async fn send_arrivals(run: Arc<Run>) {
    for arrival in run.workload.arrivals.clone() {
        // Services are reached through nodes, which the omniscient policy does without.
        if run.omniscient.is_some() && !matches!(arrival.call, crate::workload::Call::Model(_)) {
            run.skip(&arrival);
            continue;
        }
        Timer::at(run.started_at + arrival.at).await;
        EXECUTOR.spawn(Arc::clone(&run).call(arrival)).detach();
    }
}

fn spawn_warm_up(run: &Arc<Run>) -> smol::Task<coriandertide_standins::ground_truth::PromptTotals> {
    let run = Arc::clone(run);
    EXECUTOR.spawn(async move {
        Timer::at(run.started_at + run.workload.end().mul_f64(WARM_UP_SHARE)).await;
        run.site.ground_truth.prompt_totals()
    })
}

/// Starts the thread that injects the faults at their time.
fn start_faults(
    run: &Arc<Run>,
    options: &Options,
) -> thread::JoinHandle<anyhow::Result<FaultReadings>> {
    let run = Arc::clone(run);
    let injected = options.fault.clone();
    let nodes = options.nodes;
    thread::spawn(move || {
        let mut readings = FaultReadings::default();
        if injected.is_empty() {
            return Ok(readings);
        }
        let fault_at = run.started_at + run.workload.fault_at();
        thread::sleep(fault_at.saturating_duration_since(Instant::now()));
        for fault in &injected {
            faults::inject(&run.site, *fault, nodes)?;
        }
        let settled_at = fault_at + SETTLE_TIME;
        thread::sleep(settled_at.saturating_duration_since(Instant::now()));
        if injected.contains(&Fault::PowerCut) {
            run.site.ground_truth.reset_peak_watts();
        }
        if injected.contains(&Fault::ServerLeaving) {
            let server = run.site.engines.first();
            readings.accepted_at_settle = server.map(|engine| engine.accepted_requests());
        }
        Ok(readings)
    })
}

/// Prints progress until all calls have ended or the time for them is over.
fn watch(run: &Run, policy: PolicyChoice) {
    let total = run.workload.arrivals.len();
    let deadline = run.started_at + run.workload.end() + END_TIMEOUT;
    let mut next_line = Instant::now() + PROGRESS_PERIOD;
    loop {
        let endings = run.outcomes.endings();
        let ended: usize = endings.values().sum();
        if ended >= total || Instant::now() > deadline {
            return;
        }
        if Instant::now() >= next_line {
            next_line += PROGRESS_PERIOD;
            let of = |ending| endings.get(&ending).copied().unwrap_or(0);
            println!(
                "{policy}: {:.0} s, sent {}/{total}, answered {}, not run {}, unknown {}, wrong {}, {} W",
                run.started_at.elapsed().as_secs_f64(),
                run.sent.load(Ordering::Relaxed),
                of(Ending::Answered),
                of(Ending::NotRun),
                of(Ending::OutcomeUnknown),
                of(Ending::Wrong) + of(Ending::Cut),
                run.site.ground_truth.drawn_watts(),
            );
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the bytes on the partner links of all nodes, or none if a node does not say.
async fn link_bytes(nodes: &[SocketAddr]) -> Option<f64> {
    let mut sum = 0.0;
    for address in nodes {
        let request = Request::get("/metrics").header("host", "site");
        let request = request.body(Full::<Bytes>::default()).ok()?;
        let deadline = Instant::now() + Duration::from_secs(2);
        let mut exchange = http_client::send(*address, request, deadline).await.ok()?;
        let text = exchange.read_all(METRICS_LIMIT_BYTES, deadline).await.ok()?;
        let text = String::from_utf8(text.to_vec()).ok()?;
        sum += metric(&text, "coriandertide_link_sent_bytes_total")?;
        sum += metric(&text, "coriandertide_link_received_bytes_total")?;
    }
    Some(sum)
}

fn metric(text: &str, name: &str) -> Option<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().parse().ok()
}
