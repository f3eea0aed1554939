//! Trial: model of one service of the first deployment of docs/design/contended-load.md, which
//! compares rules of admission. To run it, copy it to `tests/` and use
//! `cargo test --test short_capacity -- --nocapture`.
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use chicorywing::decision::admission::{Admission, PendingRequest, Sharing};
use chicorywing::decision::fair_shares::FairShares;
use chicorywing::decision::selection::Load;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const UPS: usize = 24;
const SLOTS: usize = 6;
const RUN_S: f64 = 60.0;

#[derive(Clone, Copy, Debug)]
struct Rule {
    max_per_slot: f64,
    limits_excess: f64,
}

#[derive(Clone, Copy)]
struct Req {
    org: usize,
    alert: bool,
    instance: usize,
    first: u64,
    arrived: u64,
    work: f64,
    tries: u32,
    share: f64,
}

fn slow(seed: u64, up: usize, t_us: u64) -> f64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut h = DefaultHasher::new();
    (seed, up, t_us / 150_000).hash(&mut h);
    if h.finish() % 10 < 3 { 5.0 } else { 1.0 }
}

fn run(rule: Rule, burst: f64, burst_orgs: usize, seed: u64) -> (f64, f64, f64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let weights: Vec<f64> = (1..=76).map(|k| 1.0 / f64::from(k).powf(1.2)).collect();
    let total: f64 = weights.iter().sum();
    let mut reqs: Vec<Req> = Vec::new();
    let mut ev: BinaryHeap<Reverse<(u64, u64, u8, usize, usize)>> = BinaryHeap::new();
    let mut seq = 0;
    for (org, w) in weights.iter().enumerate() {
        let mut t = 0.0;
        let base = 108.0 * 1.15 * w / total;
        while t < RUN_S {
            let active = org < burst_orgs && (30.0..37.0).contains(&t);
            let rate = base * if active { burst } else { 1.0 };
            t += -(1.0 - rng.random::<f64>()).ln() / rate;
            let alert = rng.random::<f64>() < 0.26;
            let work = if alert { 320_000.0 } else { 250_000.0 };
            let us = (t * 1e6) as u64;
            reqs.push(Req {
                org,
                alert,
                instance: (org * 7 + rng.random_range(0..3)) % 16,
                first: us,
                arrived: us,
                work: work * (0.8 + 0.4 * rng.random::<f64>()),
                tries: 0,
                share: 1.0,
            });
            ev.push(Reverse((us, seq, 0, reqs.len() - 1, 0)));
            seq += 1;
        }
    }
    let mut running = vec![0usize; UPS];
    let mut queue: Vec<VecDeque<usize>> = vec![VecDeque::new(); UPS];
    let mut shares: Vec<FairShares> = (0..16).map(|_| FairShares::default()).collect();
    let names: Vec<Arc<str>> = (0..76).map(|o| format!("o{o}").into()).collect();
    let mut value: HashMap<(bool, bool), (f64, f64)> = HashMap::new();
    let end = |now: u64, up: usize, busy: usize, work: f64| {
        let mut left = work
            * if busy as f64 > 0.8 * SLOTS as f64 {
                1.7
            } else {
                1.0
            };
        let mut t = now;
        loop {
            let s = slow(seed, up, t);
            let span = ((t / 150_000 + 1) * 150_000 - t) as f64;
            if left * s <= span {
                return t + (left * s) as u64 + 1;
            }
            left -= span / s;
            t = (t / 150_000 + 1) * 150_000;
        }
    };
    while let Some(Reverse((now, _, kind, r, up))) = ev.pop() {
        if kind == 0 {
            let req = reqs[r];
            let ms = now / 1000;
            if req.arrived == now && req.tries == 0 {
                reqs[r].share = shares[req.instance].on_request(&names[req.org], ms);
            }
            let mut best = (usize::MAX, 0);
            let mut best_slow = 1.0;
            for n in 0..3 {
                let u = rng.random_range(0..UPS);
                let l = running[u] + queue[u].len();
                let s = slow(seed, u, now);
                let cost = ((l + 1) as f64 * s * 10.0) as usize;
                if cost < best.0 || n == 0 {
                    best = (cost, u);
                    best_slow = s;
                }
            }
            let u = best.1;
            let n = (running[u] + queue[u].len()) as u32;
            let load = Load {
                running: running[u] as u32,
                waiting: queue[u].len() as u32,
                slots: SLOTS as u32,
                speed_percent: 100.0 * best_slow,
            };
            let (objective_ms, timeout_ms) = if req.alert { (1500, 3000) } else { (600, 2500) };
            let p = PendingRequest {
                priority: if req.alert { 2 } else { 1 },
                held_ms: (now - req.arrived) / 1000,
                objective_ms,
                left_ms: timeout_ms,
                work_ms: 265.0,
                sharing: Sharing::Alike,
            };
            let mut decision = p.decide(Some(&load));
            let per = f64::from(n + 1) / SLOTS as f64;
            if decision == Admission::Send && per > rule.max_per_slot {
                decision = if p.held_ms < objective_ms * 12 / 100 {
                    Admission::ProbeAgain
                } else {
                    p.refusal()
                };
            }
            let excess = (r as f64 * 0.618).fract() >= reqs[r].share;
            if excess && per > rule.limits_excess {
                decision = p.refusal();
            }
            match decision {
                Admission::Send => {
                    if running[u] < SLOTS {
                        running[u] += 1;
                        ev.push(Reverse((end(now, u, running[u], req.work), seq, 1, r, u)));
                    } else {
                        queue[u].push_back(r);
                    }
                }
                Admission::ProbeAgain => ev.push(Reverse((now + 12_000, seq, 0, r, 0))),
                Admission::Refuse { retry_after_ms } => {
                    if req.tries < 2 {
                        reqs[r].tries += 1;
                        let at = now + retry_after_ms * 1000;
                        reqs[r].arrived = at;
                        ev.push(Reverse((at, seq, 0, r, 0)));
                    } else {
                        let inb = (30_000_000..39_000_000).contains(&req.first);
                        value.entry((inb, req.org < burst_orgs)).or_default().1 += 1.0;
                    }
                }
            }
            seq += 1;
        } else {
            let req = reqs[r];
            running[up] -= 1;
            let took = (now - req.first) / 1000;
            let (o, d, late) = if req.alert {
                (1500, 6000, 0.13 / 0.85)
            } else {
                (600, 5000, 0.1)
            };
            let v = if took <= o {
                1.0
            } else if took <= d {
                late
            } else {
                0.0
            };
            let inb = (30_000_000..39_000_000).contains(&req.first);
            let e = value.entry((inb, req.org < burst_orgs)).or_default();
            e.0 += v;
            e.1 += 1.0;
            if let Some(next) = queue[up].pop_front() {
                running[up] += 1;
                seq += 1;
                ev.push(Reverse((
                    end(now, up, running[up], reqs[next].work),
                    seq,
                    1,
                    next,
                    up,
                )));
            }
        }
    }
    let all = value
        .values()
        .fold((0.0, 0.0), |s, v| (s.0 + v.0, s.1 + v.1));
    let share = |k| {
        let v: (f64, f64) = *value.get(&k).unwrap_or(&(0.0, 1.0));
        v.0 / v.1
    };
    let b = [(true, true), (true, false)]
        .iter()
        .filter_map(|k| value.get(k))
        .fold((0.0, 0.0), |s, v| (s.0 + v.0, s.1 + v.1));
    (
        all.0 / all.1,
        b.0 / b.1,
        share((true, true)),
        share((true, false)),
    )
}

#[test]
fn trial() {
    for (burst, orgs) in [(3.0, 1), (7.5, 1), (7.5, 3), (5.0, 3)] {
        for rule in [
            Rule {
                max_per_slot: 9.0,
                limits_excess: 9.0,
            },
            Rule {
                max_per_slot: 1.0,
                limits_excess: 9.0,
            },
            Rule {
                max_per_slot: 0.8,
                limits_excess: 9.0,
            },
            Rule {
                max_per_slot: 9.0,
                limits_excess: 1.0,
            },
            Rule {
                max_per_slot: 9.0,
                limits_excess: 0.8,
            },
            Rule {
                max_per_slot: 9.0,
                limits_excess: 0.5,
            },
            Rule {
                max_per_slot: 0.8,
                limits_excess: 0.5,
            },
        ] {
            let mut sum = [0.0; 4];
            for seed in 1..=6 {
                let r = run(rule, burst, orgs, seed);
                for (s, v) in sum.iter_mut().zip([r.0, r.1, r.2, r.3]) {
                    *s += v / 6.0;
                }
            }
            println!(
                "burst {burst} x {orgs}: {rule:?}: all {:.3} burst window {:.3} bursting {:.3} others {:.3}",
                sum[0], sum[1], sum[2], sum[3]
            );
        }
    }
}
