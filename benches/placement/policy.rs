//! The policies that are compared, and the state that each keeps.

use std::sync::Arc;

use chicorywing::process::lifecycle::Signal;
use chicorywing::process::members::{Member, View};
use chicorywing::process::pool::{
    Decision, EndedCall, Event, InheritedCalls, ListedUpstream, Pool,
};
use chicorywing::process::pool_choice::{PoolName, WaitEstimates};
use chicorywing::process::queue::QueuedCall;
use chicorywing::version::objects::{Service, TierKind};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::model::{
    Call, DATA_CENTRES, DEADLINE_US, INSTANCES, SLOTS, UPSTREAMS, data_centre_of_instance,
    data_centre_of_upstream,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each instance takes the upstreams in turn.
    RoundRobin,
    /// Each call goes to a random upstream.
    Random,
    /// The less loaded of two random upstreams, by the instance's knowledge.
    TwoChoices,
    /// The upstream with the fewest calls in flight from the instance.
    LeastInFlight,
    /// The pools of the entry instances, as chicorywing places calls.
    Pools,
    /// One queue for all upstreams in order of arrival, without network time.
    Ideal,
}

impl Policy {
    pub fn all() -> [Self; 6] {
        [
            Self::RoundRobin,
            Self::Random,
            Self::TwoChoices,
            Self::LeastInFlight,
            Self::Pools,
            Self::Ideal,
        ]
    }

    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::Random => "random",
            Self::TwoChoices => "two choices",
            Self::LeastInFlight => "least in flight",
            Self::Pools => "pools (chosen)",
            Self::Ideal => "one ideal queue",
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub enum Action {
    ToPool { pool: usize, call: usize },
    ToUpstream { upstream: usize, call: usize },
    Refuse { call: usize },
}

pub fn example_service() -> Arc<Service> {
    Arc::new(Service {
        name: "service".into(),
        slots: SLOTS,
        cold_slots: 1,
        run_limit_ms: 500,
        idempotent_methods: Vec::new(),
        body_limit_bytes: 0,
        measuring_permille: 10,
        probe_cost_ms: 6,
        health_path: "/health".into(),
        data_centres: (0..DATA_CENTRES).map(data_centre).collect(),
    })
}

fn data_centre(index: usize) -> Arc<str> {
    format!("dc-{index}").into()
}

fn pool_name(pool: usize) -> PoolName {
    PoolName {
        service: "service".into(),
        data_centre: data_centre(pool),
    }
}

pub fn listed_upstreams(upstreams: impl Iterator<Item = usize>) -> Vec<ListedUpstream> {
    let listed = upstreams.map(|upstream| ListedUpstream {
        name: format!("up-{upstream}").into(),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        is_leaving: false,
    });
    listed.collect()
}

fn start_pool(now_us: u64, pool: usize) -> Pool {
    let mut new_pool = Pool::new(example_service(), now_us);
    let upstreams = (0..UPSTREAMS).filter(|upstream| data_centre_of_upstream(*upstream) == pool);
    new_pool.handle(
        now_us,
        Event::Listed(listed_upstreams(upstreams)),
        &mut Vec::new(),
    );
    new_pool
}

/// One policy with its state; vectors have one item per instance, per upstream
/// or per pool.
pub struct Placer {
    policy: Policy,
    random: StdRng,
    round_robin_positions: Vec<usize>,
    /// Calls that an instance has in flight at each upstream.
    in_flight: Vec<Vec<u64>>,
    /// Load of each upstream when it last answered an instance.
    reported_loads: Vec<Vec<u64>>,
    /// Calls in flight at each upstream, from all instances.
    actual_loads: Vec<u64>,
    ideal_queue: std::collections::VecDeque<usize>,
    pools: Vec<Pool>,
    wait_estimates: Vec<WaitEstimates>,
    /// Instance that holds each pool.
    holders: Vec<usize>,
    view: View,
    /// Calls that each pool has sent.
    sent_calls: Vec<Vec<usize>>,
}

impl Placer {
    pub fn new(policy: Policy, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed ^ 0xabcd);
        let round_robin_positions = (0..INSTANCES)
            .map(|_| random.random_range(0..UPSTREAMS))
            .collect();
        let view = View::new((0..INSTANCES).map(member).collect());
        let mut placer = Self {
            policy,
            random,
            round_robin_positions,
            in_flight: vec![vec![0; UPSTREAMS]; INSTANCES],
            reported_loads: vec![vec![0; UPSTREAMS]; INSTANCES],
            actual_loads: vec![0; UPSTREAMS],
            ideal_queue: std::collections::VecDeque::new(),
            pools: (0..DATA_CENTRES).map(|pool| start_pool(0, pool)).collect(),
            wait_estimates: (0..INSTANCES).map(|_| WaitEstimates::default()).collect(),
            holders: Vec::new(),
            view,
            sent_calls: vec![Vec::new(); DATA_CENTRES],
        };
        placer.find_holders();
        placer
    }

    fn find_holders(&mut self) {
        self.holders.clear();
        for pool in 0..DATA_CENTRES {
            let holder = self.view.holder("service", &data_centre(pool)).unwrap();
            let number = holder.name.trim_start_matches("entry-").parse().unwrap();
            self.holders.push(number);
        }
    }

    pub fn is_holder(&self, entry: usize, pool: usize) -> bool {
        self.holders[pool] == entry
    }

    pub fn on_arrival(&mut self, now_us: u64, call: usize, state: &mut Call) -> Vec<Action> {
        let entry = state.entry;
        let upstream = match self.policy {
            Policy::RoundRobin => {
                self.round_robin_positions[entry] =
                    (self.round_robin_positions[entry] + 1) % UPSTREAMS;
                self.round_robin_positions[entry]
            }
            Policy::Random => self.random.random_range(0..UPSTREAMS),
            Policy::LeastInFlight => self.least_in_flight(entry),
            Policy::TwoChoices => {
                let first = self.random.random_range(0..UPSTREAMS);
                let second = self.random.random_range(0..UPSTREAMS);
                let load = |upstream: usize| {
                    self.reported_loads[entry][upstream] + self.in_flight[entry][upstream]
                };
                if load(second) < load(first) {
                    second
                } else {
                    first
                }
            }
            Policy::Ideal => {
                self.ideal_queue.push_back(call);
                return self.serve_ideal();
            }
            Policy::Pools => return self.choose_pool(now_us, call, state),
        };
        self.in_flight[entry][upstream] += 1;
        self.actual_loads[upstream] += 1;
        vec![Action::ToUpstream { upstream, call }]
    }

    fn least_in_flight(&mut self, entry: usize) -> usize {
        let start = self.random.random_range(0..UPSTREAMS);
        let order = (0..UPSTREAMS).map(|step| (start + step) % UPSTREAMS);
        order
            .min_by_key(|upstream| self.in_flight[entry][*upstream])
            .unwrap_or(0)
    }

    fn serve_ideal(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while !self.ideal_queue.is_empty() {
            let free = (0..UPSTREAMS).min_by_key(|upstream| self.actual_loads[*upstream]);
            let Some(upstream) = free.filter(|found| self.actual_loads[*found] < SLOTS as u64)
            else {
                break;
            };
            self.actual_loads[upstream] += 1;
            if let Some(call) = self.ideal_queue.pop_front() {
                actions.push(Action::ToUpstream { upstream, call });
            }
        }
        actions
    }

    fn choose_pool(&mut self, now_us: u64, call: usize, state: &mut Call) -> Vec<Action> {
        let names: Vec<PoolName> = (0..DATA_CENTRES).map(pool_name).collect();
        let local_data_centre = data_centre(data_centre_of_instance(state.entry));
        let wait_estimates = &mut self.wait_estimates[state.entry];
        let Some(chosen) =
            wait_estimates.choose(now_us, &names, &local_data_centre, &mut self.random)
        else {
            return vec![Action::Refuse { call }];
        };
        let pool = names.iter().position(|name| *name == chosen).unwrap_or(0);
        wait_estimates.on_sent(&chosen);
        state.pool = pool;
        vec![Action::ToPool { pool, call }]
    }

    pub fn on_arrival_at_pool(
        &mut self,
        now_us: u64,
        pool: usize,
        call: usize,
        state: &Call,
    ) -> Vec<Action> {
        let call = QueuedCall {
            ticket: call as u64,
            organisation: if state.tier.is_trial() {
                "trial"
            } else {
                "payer"
            }
            .into(),
            tier: state.tier,
            deadline_us: state.arrived_us + DEADLINE_US,
            arrived_us: now_us,
            avoid: None,
            fingerprint: call as u64,
        };
        self.handle(now_us, pool, Event::Arrived(call))
    }

    fn handle(&mut self, now_us: u64, pool: usize, event: Event) -> Vec<Action> {
        let mut decisions = Vec::new();
        self.pools[pool].handle(now_us, event, &mut decisions);
        let mut actions = Vec::new();
        for decision in decisions {
            match decision {
                Decision::Send { call, upstream, .. } => {
                    let (name, _) = self.pools[pool].upstream(upstream);
                    let upstream = name.trim_start_matches("up-").parse().unwrap();
                    let call = call.ticket as usize;
                    self.sent_calls[pool].push(call);
                    actions.push(Action::ToUpstream { upstream, call });
                }
                Decision::Refuse { call, .. } => actions.push(Action::Refuse {
                    call: call.ticket as usize,
                }),
                Decision::Probe { upstream } => {
                    let is_healthy = true;
                    actions.extend(self.handle(
                        now_us,
                        pool,
                        Event::Probed {
                            upstream,
                            is_healthy,
                        },
                    ));
                }
            }
        }
        actions
    }

    /// Ends a call at a pool; `took_us` is `None` if the upstream was down.
    pub fn on_ended(
        &mut self,
        now_us: u64,
        pool: usize,
        upstream: usize,
        tier: TierKind,
        took_us: Option<u64>,
    ) -> Vec<Action> {
        if self.policy != Policy::Pools {
            return Vec::new();
        }
        let name = format!("up-{upstream}");
        let Some(index) = self.pools[pool].index_of(&name) else {
            return Vec::new();
        };
        if self.pools[pool].summaries()[index].in_flight == 0 {
            // The holder that sent the call has crashed.
            return Vec::new();
        }
        let ended = EndedCall {
            upstream: index,
            signal: Some(took_us.map_or(Signal::ConnectFailed, |_| Signal::Answered)),
            took_us: took_us.unwrap_or(0),
            tier,
            fingerprint: 0,
        };
        self.handle(now_us, pool, Event::Ended(ended))
    }

    pub fn on_answered(&mut self, now_us: u64, state: &Call, upstream: usize, took_us: u64) {
        let entry = state.entry;
        match self.policy {
            Policy::Pools => {
                let pool = &self.pools[state.pool];
                let wait_us = pool.expected_wait_us(state.tier, "payer");
                self.wait_estimates[entry].on_answered(now_us, &pool_name(state.pool), wait_us);
            }
            Policy::Ideal => self.actual_loads[upstream] -= 1,
            _ => {
                let in_flight = &mut self.in_flight[entry][upstream];
                *in_flight = in_flight.saturating_sub(1);
                self.actual_loads[upstream] = self.actual_loads[upstream].saturating_sub(1);
                self.reported_loads[entry][upstream] = self.actual_loads[upstream];
            }
        }
        let _ = took_us;
    }

    pub fn on_tick(&mut self, now_us: u64) -> Vec<Action> {
        match self.policy {
            Policy::Pools => {
                let mut actions = Vec::new();
                for pool in 0..DATA_CENTRES {
                    actions.extend(self.handle(now_us, pool, Event::Tick));
                }
                actions
            }
            Policy::Ideal => self.serve_ideal(),
            _ => Vec::new(),
        }
    }

    /// Crashes the holder of pool 0, which loses its state; the new holder
    /// inherits calls that it cannot count.
    pub fn on_holder_crash(&mut self, now_us: u64) -> Vec<usize> {
        if self.policy != Policy::Pools {
            return Vec::new();
        }
        let crashed = format!("entry-{}", self.holders[0]);
        let mut members = self.view.members().to_vec();
        members.retain(|member| *member.name != *crashed);
        self.view = View::new(members);
        self.find_holders();
        self.pools[0] = start_pool(now_us, 0);
        let inherited = InheritedCalls {
            upstream: None,
            calls: None,
            is_warm: false,
            until_us: now_us + 100_000,
        };
        self.pools[0].handle(now_us, Event::Inherited(inherited), &mut Vec::new());
        Vec::new()
    }

    pub fn on_takeover(&mut self, now_us: u64) {
        if self.policy == Policy::Pools {
            self.pools[0].handle(now_us, Event::Tick, &mut Vec::new());
        }
    }
}

fn member(instance: usize) -> Arc<Member> {
    Arc::new(Member {
        name: format!("entry-{instance}").into(),
        incarnation: instance as u64,
        data_centre: data_centre(data_centre_of_instance(instance)),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
    })
}
