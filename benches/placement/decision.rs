//! Measures the time and the allocations of one decision of a pool.

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use chicorywing::process::lifecycle::Signal;
use chicorywing::process::pool::{Decision, EndedCall, Event, Pool};
use chicorywing::process::queue::QueuedCall;
use chicorywing::version::objects::TierKind;

use crate::policy::{example_service, listed_upstreams};

/// Decisions that are timed for each number of upstreams.
const TIMED_DECISIONS: u64 = 300_000;

/// The system's allocator, with a count of allocations.
struct CountingAllocator;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

#[allow(unsafe_code, reason = "GlobalAlloc is an unsafe trait")]
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Prints the time and the allocations of one decision: a call arrives, is
/// placed and ends.
pub fn report_cost() {
    println!("\none decision (arrival, placement, end)");
    println!("{:>10} {:>12} {:>14}", "upstreams", "ns", "allocations");
    for upstreams in [12, 120, 730] {
        let (nanoseconds, allocations_milli) = measure(upstreams);
        println!(
            "{upstreams:>10} {nanoseconds:>12} {:>10}.{:03}",
            allocations_milli / 1000,
            allocations_milli % 1000
        );
    }
}

/// Mean time of a decision in nanoseconds and its allocations in thousandths.
fn measure(upstreams: usize) -> (u64, u64) {
    let mut pool = Pool::new(example_service(), 0);
    let mut decisions = Vec::with_capacity(16);
    pool.handle(
        0,
        Event::Listed(listed_upstreams(0..upstreams)),
        &mut decisions,
    );
    let organisation: Arc<str> = "payer".into();
    let mut now_us = 0;
    for ticket in 0..10_000 {
        place_and_end_call(
            &mut pool,
            &mut decisions,
            &organisation,
            ticket,
            &mut now_us,
        );
    }
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    let started = Instant::now();
    for ticket in 10_000..10_000 + TIMED_DECISIONS {
        place_and_end_call(
            &mut pool,
            &mut decisions,
            &organisation,
            ticket,
            &mut now_us,
        );
    }
    let elapsed = started.elapsed().as_nanos();
    let allocations = ALLOCATIONS.load(Ordering::Relaxed) - before;
    let nanoseconds = u64::try_from(elapsed).unwrap_or(u64::MAX) / TIMED_DECISIONS;
    (nanoseconds, allocations * 1000 / TIMED_DECISIONS)
}

fn place_and_end_call(
    pool: &mut Pool,
    decisions: &mut Vec<Decision>,
    organisation: &Arc<str>,
    ticket: u64,
    now_us: &mut u64,
) {
    *now_us += 10;
    let call = QueuedCall {
        ticket,
        organisation: Arc::clone(organisation),
        tier: TierKind::Paying,
        deadline_us: *now_us + 1_000_000,
        arrived_us: *now_us,
        avoid: None,
        fingerprint: ticket,
    };
    pool.handle(*now_us, Event::Arrived(call), decisions);
    let mut sent = None;
    for decision in decisions.drain(..) {
        if let Decision::Send { upstream, .. } = decision {
            sent = Some(upstream);
        }
    }
    let Some(upstream) = black_box(sent) else {
        return;
    };
    let ended = EndedCall {
        upstream,
        signal: Some(Signal::Answered),
        took_us: 5_000,
        tier: TierKind::Paying,
        fingerprint: ticket,
    };
    pool.handle(*now_us + 5, Event::Ended(ended), decisions);
    decisions.clear();
}
