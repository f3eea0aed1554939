//! Decides when the traffic of a service moves to upstreams of a new version, and whether the
//! version is bad.
//!
//! All times are Unix milliseconds, so that another instance can resume a roll-out.

pub mod evidence;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use self::evidence::Evidence;

/// Shortest and longest time that an order may give: in less than a second nothing can be
/// observed, and one of more than a week is a mistake.
const OVER_MS: std::ops::RangeInclusive<u64> = 1_000..=7 * 86_400_000;
/// Share of the new version in the step [`Step::First`], relative to the exposure limit.
const FIRST_FACTOR: f64 = 0.2;
/// The same in the step [`Step::Canary`].
const CANARY_FACTOR: f64 = 0.3;
/// Requests to the new version that the canary aims at: times that vary by a factor of five
/// are told from slower ones by some 40.
const WANTED_SENDS: f64 = 60.0;
/// Largest share of the canary, which services with few requests need.
const MAX_CANARY_SHARE: f64 = 0.3;
/// Part of the slack that the canary may use.
const SLACK_PART: f64 = 0.6;
/// Part of the order's time after which the share of the first step is raised.
const FIRST_UNTIL: f64 = 0.15;
/// Part after which the evidence time ends.
const CANARY_UNTIL: f64 = 0.62;
/// Part until which missing evidence and cold upstreams are waited for; the steps that follow
/// take 0.15 of the time.
const LATEST_RAISE: f64 = 0.75;
/// Part that each of the steps after the evidence time takes.
const RAISE_TIME: f64 = 0.05;
/// Part at which the roll-out completes also if some instances have not confirmed the share.
const LATEST_COMPLETION: f64 = 0.93;
/// Requests to warm upstreams of the new version that are enough evidence.
const MIN_EVIDENCE: f64 = 30.0;
/// The same at [`LATEST_RAISE`].
const MIN_LATE_EVIDENCE: f64 = 8.0;
/// Requests to the service below which nothing can be observed; such a service is completed
/// without evidence.
const MIN_REQUESTS: f64 = 40.0;
/// Part of the old version's slots that warm upstreams of the new one must have.
const MIN_SLOTS: f64 = 0.5;
/// Time after taking over in which the share does not rise, since instances are still to
/// report their counts.
const RESUME_TIME_MS: u64 = 1_500;

/// Limits on the requests that a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Share of the service's requests from the order to its deadline.
    pub share: f64,
    /// Requests beyond it.
    pub slack: f64,
    /// Time after the 50th bad answer in which the last request is sent, in milliseconds.
    pub rollback_ms: u64,
}

/// An order to move the traffic of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Version that the upstreams shall have.
    pub target_version: Arc<str>,
    /// Time in which the move shall be finished, in milliseconds.
    pub over_ms: u64,
}

/// State of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Some requests go to the new version.
    Running,
    /// All requests go to the new version; the old upstreams stop.
    Completed,
    /// No request goes to the new version.
    RolledBack,
}

/// How far a roll-out is.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// The smallest share.
    First,
    /// The share of the evidence time.
    Canary,
    /// A tenth of the requests.
    Tenth,
    /// A third of the requests.
    Third,
    /// All requests, while the old upstreams finish theirs.
    All,
}

/// What is kept of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its state.
    pub state: State,
    /// The new version.
    pub target_version: Arc<str>,
    /// Hash of the order, by which a repeated one is told from a new one; 0 if it was
    /// withdrawn.
    #[serde(default)]
    pub order: u64,
    /// Its step.
    #[serde(default = "first_step")]
    pub step: Step,
    /// Share of requests that go to the new version.
    #[serde(default)]
    pub share: f64,
    /// When the order was seen.
    #[serde(default)]
    pub began_ms: u64,
    /// When the step began.
    #[serde(default)]
    pub step_ms: u64,
    /// Deadline of the order.
    #[serde(default)]
    pub until_ms: u64,
    /// Why the state was reached.
    #[serde(default)]
    pub reason: Arc<str>,
    /// Versions that earlier orders have shown to be bad, and the present one if it is.
    #[serde(default)]
    pub barred: Vec<Arc<str>>,
}

fn first_step() -> Step {
    Step::First
}

/// Upstreams of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Upstreams {
    /// Slots of ready upstreams of old versions.
    pub old_slots: u32,
    /// Slots of ready upstreams of the new version.
    pub new_slots: u32,
    /// Those of them that have warmed up.
    pub warm_slots: u32,
    /// Whether the manifest describes the service.
    pub is_service_known: bool,
    /// Whether all instances that report use the share of the status.
    pub is_share_confirmed: bool,
}

/// The status with which an order begins.
#[must_use]
pub fn begin(
    order: Result<&Order, &str>,
    hash: u64,
    before: Option<&Status>,
    limit: ExposureLimit,
    upstreams: Upstreams,
    now_ms: u64,
) -> Status {
    let (target_version, over_ms) = match order {
        Ok(order) => (Arc::clone(&order.target_version), order.over_ms),
        Err(_) => ("".into(), 0),
    };
    let mut barred = before.map_or_else(Vec::new, |before| before.barred.clone());
    let unfinished = before.filter(|before| before.state == State::Running);
    if let Some(before) = unfinished.filter(|before| before.target_version != target_version) {
        // Its upstreams are neither the old ones nor those of the new order.
        barred.push(Arc::clone(&before.target_version));
    }
    let was_bad = barred.contains(&target_version);
    let refusal = match order {
        Err(error) => Some(error),
        Ok(_) if !OVER_MS.contains(&over_ms) => {
            Some("its time is unreadable, shorter than 1 s or longer than a week")
        }
        Ok(_) if !upstreams.is_service_known => Some("no such service"),
        Ok(_) if was_bad => Some("the version was rolled back before"),
        Ok(_) => None,
    };
    let in_force = upstreams.old_slots == 0 && upstreams.new_slots > 0;
    let (state, share, reason) = match refusal {
        Some(reason) => (State::RolledBack, 0.0, reason),
        None if in_force => (State::Completed, 1.0, "the version is in force"),
        None => (State::Running, limit.share * FIRST_FACTOR, "order accepted"),
    };
    Status {
        state,
        target_version,
        order: hash,
        step: Step::First,
        share,
        began_ms: now_ms,
        step_ms: now_ms,
        until_ms: now_ms.saturating_add(over_ms),
        reason: reason.into(),
        barred,
    }
}

/// Decides on one roll-out; the evidence is that since this instance decides.
#[derive(Clone, Debug)]
pub struct Decider {
    /// Counts of all instances.
    pub evidence: Evidence,
    since_ms: u64,
}

impl Decider {
    /// Begins to decide, or resumes what another instance has decided so far.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self {
            evidence: Evidence::default(),
            since_ms: now_ms,
        }
    }

    /// The next status of a running roll-out, if it changes.
    pub fn decide(
        &mut self,
        status: &Status,
        limit: ExposureLimit,
        upstreams: Upstreams,
        now_ms: u64,
    ) -> Option<Status> {
        if status.state != State::Running {
            return None;
        }
        if let Some(finding) = self.evidence.find(now_ms) {
            let reason = match &finding {
                evidence::Finding::Fails(Some(route)) | evidence::Finding::Slow(Some(route)) => {
                    format!("{finding} on route {route}")
                }
                _ => finding.to_string(),
            };
            let mut bad = roll_back(status, &reason, now_ms);
            bad.barred.push(Arc::clone(&status.target_version));
            return Some(bad);
        }
        if now_ms >= status.until_ms {
            return Some(roll_back(status, "the deadline has passed", now_ms));
        }
        let plan = Plan { status, now_ms };
        if now_ms < self.since_ms + RESUME_TIME_MS && status.step != Step::First {
            return None;
        }
        match status.step {
            Step::First if plan.part() < FIRST_UNTIL => None,
            Step::First => Some(plan.step(Step::Canary, self.canary_share(&plan, limit))),
            Step::Canary => self.end_canary(&plan, limit, upstreams),
            Step::Tenth if plan.is_step_over() => Some(plan.step(Step::Third, 0.33)),
            Step::Third if plan.is_step_over() => Some(plan.step(Step::All, 1.0)),
            Step::All if plan.is_step_over() => {
                let is_due = plan.part() >= LATEST_COMPLETION;
                (upstreams.is_share_confirmed || is_due).then(|| Status {
                    state: State::Completed,
                    reason: "no evidence against the version".into(),
                    ..plan.step(Step::All, 1.0)
                })
            }
            Step::Tenth | Step::Third | Step::All => None,
        }
    }

    /// Services with few requests need a larger share for as many answers, and the slack
    /// permits it.
    fn canary_share(&self, plan: &Plan<'_>, limit: ExposureLimit) -> f64 {
        let usual = limit.share * CANARY_FACTOR;
        let projected = self.evidence.sends().1 + self.requests_until(plan, 1.0);
        let allowed = limit.slack * SLACK_PART + limit.share * projected * CANARY_FACTOR;
        let wanted = WANTED_SENDS.min(allowed);
        let expected = self.requests_until(plan, CANARY_UNTIL);
        usual.max((wanted / expected.max(1.0)).min(MAX_CANARY_SHARE))
    }

    /// Requests that the service will have got from now until a part of the order's time.
    fn requests_until(&self, plan: &Plan<'_>, part: f64) -> f64 {
        let elapsed = plan.part().max(0.001);
        self.evidence.sends().1 / elapsed * (part - elapsed).max(0.0)
    }

    fn end_canary(
        &self,
        plan: &Plan<'_>,
        limit: ExposureLimit,
        upstreams: Upstreams,
    ) -> Option<Status> {
        if plan.part() < CANARY_UNTIL {
            return None;
        }
        let is_latest = plan.part() >= LATEST_RAISE;
        let (new, all) = self.evidence.sends();
        let needed = if is_latest {
            MIN_LATE_EVIDENCE
        } else {
            MIN_EVIDENCE
        };
        let has_evidence = self.evidence.warm_sends() >= needed || all < MIN_REQUESTS;
        let slots = f64::from(upstreams.warm_slots);
        let has_slots =
            upstreams.warm_slots > 0 && slots >= MIN_SLOTS * f64::from(upstreams.old_slots);
        let projected = all + self.requests_until(plan, 1.0);
        // The steps that follow use about this much of all requests.
        let rest = RAISE_TIME * 1.43 * projected;
        let is_within_limit = new + rest <= limit.share * projected + limit.slack;
        if has_evidence && has_slots && (is_within_limit || is_latest) {
            return Some(plan.step(Step::Tenth, limit.share.min(0.1)));
        }
        if !is_latest {
            return None;
        }
        let reason = if has_slots {
            "too few answers of the new version"
        } else {
            "too few warm upstreams of the new version"
        };
        Some(roll_back(plan.status, reason, plan.now_ms))
    }
}

/// The status that ends a roll-out for good.
#[must_use]
pub fn roll_back(status: &Status, reason: &str, now_ms: u64) -> Status {
    Status {
        state: State::RolledBack,
        share: 0.0,
        step_ms: now_ms,
        reason: reason.into(),
        ..status.clone()
    }
}

/// Where in its time a roll-out is.
struct Plan<'s> {
    status: &'s Status,
    now_ms: u64,
}

impl Plan<'_> {
    fn over_ms(&self) -> f64 {
        seconds(self.status.until_ms.saturating_sub(self.status.began_ms)) * 1_000.0
    }

    /// Elapsed part of the order's time.
    fn part(&self) -> f64 {
        let elapsed_ms = self.now_ms.saturating_sub(self.status.began_ms);
        seconds(elapsed_ms) * 1_000.0 / self.over_ms().max(1.0)
    }

    fn is_step_over(&self) -> bool {
        let elapsed_ms = self.now_ms.saturating_sub(self.status.step_ms);
        seconds(elapsed_ms) * 1_000.0 >= RAISE_TIME * self.over_ms()
    }

    fn step(&self, step: Step, share: f64) -> Status {
        Status {
            step,
            share,
            step_ms: self.now_ms,
            reason: "no evidence against the version so far".into(),
            ..self.status.clone()
        }
    }
}

fn seconds(time_ms: u64) -> f64 {
    std::time::Duration::from_millis(time_ms).as_secs_f64()
}
