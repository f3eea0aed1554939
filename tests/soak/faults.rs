//! Faults drawn by a seed; they come in series and overlap.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use strum::{EnumCount, EnumIter, IntoEnumIterator};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::proxy::Mode as Link;
use crate::store::Mode;
use crate::upstream::{Fault, Running};
use crate::world::{DATA_CENTRES, SERVICES, World};

/// Time after a drain for which an upstream still serves.
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// Time after which the entry of a crashed upstream is taken out.
const ENTRY_TIME: Duration = Duration::from_millis(1_500);
/// Time after which an address may be used again.
const REUSE_TIME: Duration = Duration::from_millis(2_200);

#[derive(Clone, Copy, Debug, EnumCount, EnumIter, PartialEq, Eq)]
enum Kind {
    GatewayKilled,
    GatewayFrozen,
    GatewayStopped,
    GatewaysStoppedInTurn,
    GatewayToldOfSettings,
    AllGatewaysKilled,
    GatewayCutFromStore,
    UpstreamCrashes,
    UpstreamDrains,
    UpstreamTurnsCold,
    UpstreamFaulty,
    AddressReused,
    LinkDelayed,
    LinkHeld,
    LinkReset,
    LinkSilenced,
    StoreRefuses,
    StoreSilent,
    StoreSlow,
    StoreLosesAnswers,
    StoreLapses,
    StoreForgets,
    VersionPublished,
    VersionsInQuickSuccession,
    DataCentreOut,
}

/// One fault, drawn before it is played, so that a seed always draws alike.
#[derive(Clone, Copy, Debug)]
struct Drawn {
    kind: Kind,
    at: Duration,
    time: Duration,
    target: usize,
    variant: usize,
}

fn draw(seed: u64, faults_s: u64) -> Vec<Drawn> {
    let mut random = StdRng::seed_from_u64(seed);
    let kinds: Vec<Kind> = Kind::iter().collect();
    let mut drawn = Vec::new();
    for _ in 0..faults_s {
        drawn.push(Drawn {
            kind: kinds[random.random_range(0..Kind::COUNT)],
            at: Duration::from_millis(random.random_range(0..faults_s * 1_000)),
            time: Duration::from_millis(random.random_range(200..4_000)),
            target: random.random_range(0..1_000),
            variant: random.random_range(0..1_000),
        });
    }
    drawn.sort_by_key(|fault| fault.at);
    drawn
}

/// Plays the faults of a seed and waits until each has ended.
pub async fn play(world: &Arc<World>, seed: u64, faults_s: u64) {
    let mut playing = JoinSet::new();
    for fault in draw(seed, faults_s) {
        let world = Arc::clone(world);
        playing.spawn(async move {
            sleep(fault.at).await;
            println!("seed {seed}: {} ms: {fault:?}", world.now_ms());
            fault.play(&world).await;
        });
    }
    while let Some(played) = playing.join_next().await {
        played.unwrap();
    }
}

impl Drawn {
    async fn play(self, world: &Arc<World>) {
        match self.kind {
            Kind::GatewayKilled
            | Kind::GatewayFrozen
            | Kind::GatewayStopped
            | Kind::GatewaysStoppedInTurn
            | Kind::GatewayToldOfSettings
            | Kind::AllGatewaysKilled
            | Kind::GatewayCutFromStore => self.strike_gateway(world).await,
            Kind::UpstreamCrashes
            | Kind::UpstreamDrains
            | Kind::UpstreamTurnsCold
            | Kind::UpstreamFaulty
            | Kind::AddressReused => self.strike_upstream(world).await,
            Kind::LinkDelayed | Kind::LinkHeld | Kind::LinkReset | Kind::LinkSilenced => {
                self.strike_link(world).await;
            }
            Kind::StoreRefuses
            | Kind::StoreSilent
            | Kind::StoreSlow
            | Kind::StoreLosesAnswers
            | Kind::StoreLapses
            | Kind::StoreForgets => self.strike_store(world).await,
            Kind::VersionPublished => world.publish(),
            Kind::VersionsInQuickSuccession => {
                for _ in 0..4 {
                    world.publish();
                    sleep(Duration::from_millis(120)).await;
                }
            }
            Kind::DataCentreOut => {
                let data_centre = DATA_CENTRES[self.target % DATA_CENTRES.len()];
                world.take_out(data_centre);
                sleep(Duration::from_secs(4) + self.time).await;
                world.bring_back(data_centre);
            }
        }
    }

    async fn strike_gateway(self, world: &Arc<World>) {
        let number = self.target % world.gateways.len();
        let gateway = &world.gateways[number];
        match self.kind {
            Kind::GatewayFrozen => {
                let disturbance = world.disturb(Some(number), false);
                gateway.signal("-STOP").await;
                sleep(self.time).await;
                gateway.signal("-CONT").await;
                world.calm(disturbance);
            }
            Kind::GatewayCutFromStore => {
                let disturbance = world.disturb(Some(number), false);
                let modes = [Link::HoldAll, Link::HoldBack, Link::HoldForth];
                gateway.link.set(modes[self.variant % modes.len()]);
                sleep(self.time).await;
                gateway.link.set(Link::Pass);
                if self.variant.is_multiple_of(2) {
                    gateway.link.reset();
                }
                world.calm(disturbance);
            }
            Kind::GatewayToldOfSettings => {
                for probes_per_s in [61, 62, 60] {
                    gateway.change_settings(probes_per_s);
                    gateway.signal("-HUP").await;
                    sleep(Duration::from_millis(80)).await;
                }
            }
            Kind::GatewayStopped => stop(world, number).await,
            Kind::GatewaysStoppedInTurn => {
                for number in 0..world.gateways.len() {
                    stop(world, number).await;
                }
            }
            Kind::AllGatewaysKilled => {
                let disturbance = world.disturb(None, true);
                for gateway in &world.gateways {
                    note(world, gateway.kill().await);
                }
                sleep(self.time / 4).await;
                for gateway in &world.gateways {
                    gateway.start(false).await;
                }
                world.calm(disturbance);
            }
            _ => {
                let disturbance = world.disturb(Some(number), true);
                note(world, gateway.kill().await);
                sleep(self.time / 4).await;
                gateway.start(false).await;
                world.calm(disturbance);
            }
        }
    }

    async fn strike_upstream(self, world: &Arc<World>) {
        let position = self.target % world.size.upstreams();
        if self.kind == Kind::UpstreamTurnsCold || self.kind == Kind::UpstreamFaulty {
            let upstreams = world.upstreams.lock().await;
            let Some(running) = &upstreams[position] else {
                return;
            };
            let upstream = Arc::clone(&running.upstream);
            drop(upstreams);
            if self.kind == Kind::UpstreamTurnsCold {
                upstream.chill(world);
                return;
            }
            let faults = [
                Fault::Slow(6),
                Fault::Errors,
                Fault::Hangs,
                Fault::Sheds,
                Fault::LosesAnswers,
                Fault::Truncates,
                Fault::Strays,
                Fault::LooksIll,
            ];
            upstream.set(faults[self.variant % faults.len()]);
            sleep(self.time).await;
            upstream.set(Fault::None);
            return;
        }
        // Taken out while it is struck, so that faults do not meet.
        let Some(running) = world.upstreams.lock().await[position].take() else {
            return;
        };
        let place = running.upstream.place.clone();
        if self.kind == Kind::UpstreamDrains {
            running.upstream.drain(world);
            sleep(DRAIN_TIME).await;
            world.store.put("keyed.servers", &place.id, b"");
            running.crash().await;
        } else {
            running.crash().await;
            sleep(ENTRY_TIME).await;
            world.store.put("keyed.servers", &place.id, b"");
        }
        if self.kind == Kind::AddressReused {
            sleep(REUSE_TIME).await;
            let other = SERVICES.iter().find(|service| **service != place.service);
            let mut reused = world.place(position);
            reused.service = other.unwrap();
            let id = reused.id.clone();
            let running = Running::start(world, reused, true).await;
            sleep(self.time).await;
            running.crash().await;
            world.store.put("keyed.servers", &id, b"");
        }
        sleep(REUSE_TIME).await;
        let running = Running::start(world, world.place(position), true).await;
        world.upstreams.lock().await[position] = Some(running);
    }

    async fn strike_link(self, world: &Arc<World>) {
        let link = &world.links[self.target % world.size.upstreams()];
        match self.kind {
            Kind::LinkDelayed => {
                let delay_ms = 5 + u64::try_from(self.variant % 200).unwrap();
                link.set(Link::Delay(Duration::from_millis(delay_ms)));
            }
            Kind::LinkHeld => {
                let modes = [Link::HoldAll, Link::HoldBack, Link::HoldForth];
                link.set(modes[self.variant % modes.len()]);
            }
            Kind::LinkReset => link.reset(),
            _ => link.silence(),
        }
        sleep(self.time).await;
        link.set(Link::Pass);
    }

    async fn strike_store(self, world: &Arc<World>) {
        let disturbance = world.disturb(None, false);
        match self.kind {
            Kind::StoreRefuses => world.store.set(Mode::Refusing),
            Kind::StoreSlow => world.store.set(Mode::Slow(Duration::from_millis(250))),
            Kind::StoreLosesAnswers => world.store.set(Mode::LosingAnswers),
            Kind::StoreForgets => world.store.compact(),
            _ => world.store.set(Mode::Silent),
        }
        let lapsed = if self.kind == Kind::StoreLapses {
            lapse(world).await
        } else {
            Vec::new()
        };
        sleep(self.time).await;
        world.store.set(Mode::Well);
        // Servers that live are back within about two seconds.
        sleep(Duration::from_millis(u64::try_from(self.variant).unwrap())).await;
        for upstream in lapsed {
            upstream.report(world);
        }
        world.calm(disturbance);
    }
}

/// Takes the entries of all upstreams out that live.
async fn lapse(world: &Arc<World>) -> Vec<Arc<crate::upstream::Upstream>> {
    let mut lapsed = Vec::new();
    for running in world.upstreams.lock().await.iter().flatten() {
        let upstream = Arc::clone(&running.upstream);
        world.store.put("keyed.servers", &upstream.place.id, b"");
        lapsed.push(upstream);
    }
    lapsed
}

/// Stops a gateway as planned and starts it again.
async fn stop(world: &Arc<World>, number: usize) {
    let gateway = &world.gateways[number];
    let began_ms = world.now_ms();
    let stopped = gateway.stop().await;
    let was_disturbed = world.disturbances().iter().any(|other| {
        other.gateway.is_none_or(|gateway| gateway == number) && other.until_ms >= began_ms
    });
    if !was_disturbed {
        note(world, stopped);
    }
    let disturbance = world.disturb(Some(number), false);
    gateway.start(false).await;
    world.calm(disturbance);
}

fn note(world: &World, result: Result<(), String>) {
    if let Err(what) = result {
        world.violate(what);
    }
}
