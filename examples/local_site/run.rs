//! Runs a site with its callers and faults under one policy.

use crate::callers::Run;
use crate::fault_report::{FaultReadings, FaultReport, SETTLE_TIME};
use crate::faults;
use crate::omniscient::OmniscientRouter;
use crate::options::{Fault, Options, PolicyChoice};
use crate::outcome::{Ending, Outcomes};
use crate::preset::Preset;
use crate::report::{Measurements, PolicyReport, WARM_UP_FRACTION};
use crate::site::Site;
use crate::workload::{MODEL_FRACTION, Workload};
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
/// Seconds of traffic in a run without a given number of requests.
const DEFAULT_RUN_S: f64 = 20.0;
/// Maximum time until all nodes are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time after the last arrival until all calls have ended.
const END_TIMEOUT: Duration = Duration::from_secs(25);
/// Period of the progress lines.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);
/// Maximum size of a metrics page.
const MAX_METRICS_BYTES: usize = 4 << 20;

static EXECUTOR: Executor<'static> = Executor::new();
static START: Once = Once::new();

/// Runs the site under `policy` and returns its report.
pub fn run_policy(policy: PolicyChoice, options: &Options) -> anyhow::Result<PolicyReport> {
    START.call_once(start_threads);
    let preset = Preset::of(options.site);
    let rate_per_s = preset.capacity_per_s() * options.load / MODEL_FRACTION;
    let requests = options.requests.unwrap_or((rate_per_s * DEFAULT_RUN_S) as usize);
    let site = Site::start(preset, policy, options)?;
    let probe_task = EXECUTOR.spawn(site.balancer.clone().run_probes());
    let omniscient = match policy {
        PolicyChoice::Omniscient => Some(OmniscientRouter::new(&preset)),
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
        sent_calls: AtomicUsize::new(0),
        started_at: Instant::now(),
    });
    let sender_task = EXECUTOR.spawn(send_arrivals(Arc::clone(&run)));
    let warm_up_task = spawn_warm_up_reading(&run);
    let fault_thread = spawn_fault_thread(&run, options);
    wait_until_ended(&run, policy);
    let readings =
        fault_thread.join().map_err(|_| anyhow::anyhow!("the fault thread panicked"))??;
    drop(sender_task);
    let warm_up_totals = smol::block_on(warm_up_task);
    let measurements = Measurements {
        warm_up_totals,
        link_bytes: smol::block_on(total_link_bytes(&run.site.node_addresses())),
        fault: FaultReport::new(&run, &options.fault, readings),
    };
    let report = PolicyReport::new(&run, policy, options, measurements);
    drop(probe_task);
    for node in run.site.remove_all_nodes() {
        node.kill();
    }
    Ok(report)
}

fn start_threads() {
    for index in 0..CALLER_THREADS {
        thread::Builder::new()
            .name(format!("caller-{index}"))
            .spawn(|| smol::block_on(EXECUTOR.run(pending::<()>())))
            .expect("spawning a caller thread succeeds");
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
        // Services are reached only through nodes, which the omniscient policy does not start.
        if run.omniscient.is_some() && !matches!(arrival.call, crate::workload::Call::Model(_)) {
            run.record_skipped(&arrival);
            continue;
        }
        Timer::at(run.started_at + arrival.offset).await;
        EXECUTOR.spawn(Arc::clone(&run).call(arrival)).detach();
    }
}

/// Starts a task that returns the prompt totals at the end of the warm-up.
fn spawn_warm_up_reading(
    run: &Arc<Run>,
) -> smol::Task<coriandertide_standins::ground_truth::PromptTotals> {
    let run = Arc::clone(run);
    EXECUTOR.spawn(async move {
        Timer::at(run.started_at + run.workload.duration().mul_f64(WARM_UP_FRACTION)).await;
        run.site.ground_truth.prompt_totals()
    })
}

/// Starts a thread that injects the faults and takes the readings after the settle time.
fn spawn_fault_thread(
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
        let fault_at = run.started_at + run.workload.fault_offset();
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

/// Prints progress until all calls have ended, or until [`END_TIMEOUT`] after the last arrival.
fn wait_until_ended(run: &Run, policy: PolicyChoice) {
    let total = run.workload.arrivals.len();
    let deadline = run.started_at + run.workload.duration() + END_TIMEOUT;
    let mut next_line_at = Instant::now() + PROGRESS_PERIOD;
    loop {
        let ending_counts = run.outcomes.ending_counts();
        let ended: usize = ending_counts.values().sum();
        if ended >= total || Instant::now() > deadline {
            return;
        }
        if Instant::now() >= next_line_at {
            next_line_at += PROGRESS_PERIOD;
            let count = |ending| ending_counts.get(&ending).copied().unwrap_or(0);
            println!(
                "{policy}: {:.0} s, sent {}/{total}, answered {}, not run {}, unknown {}, wrong {}, {} W",
                run.started_at.elapsed().as_secs_f64(),
                run.sent_calls.load(Ordering::Relaxed),
                count(Ending::Answered),
                count(Ending::NotRun),
                count(Ending::OutcomeUnknown),
                count(Ending::Wrong) + count(Ending::Cut),
                run.site.ground_truth.drawn_watts(),
            );
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the bytes on the partner links of all nodes, or `None` if a node's metrics lack them.
async fn total_link_bytes(nodes: &[SocketAddr]) -> Option<f64> {
    let mut sum = 0.0;
    for address in nodes {
        let request = Request::get("/metrics").header("host", "site");
        let request = request.body(Full::<Bytes>::default()).ok()?;
        let deadline = Instant::now() + Duration::from_secs(2);
        let mut exchange = http_client::send(*address, request, deadline).await.ok()?;
        let text = exchange.read_all(MAX_METRICS_BYTES, deadline).await.ok()?;
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
