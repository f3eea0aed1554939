//! Instances converge to what was acknowledged last, whatever the store loses.

use std::collections::{BTreeMap, VecDeque};

use chicorywing::gateway::store::{Records, Stream};
use proptest::prelude::{Just, Strategy, prop, prop_assert_eq, prop_oneof, proptest};

use crate::model::{Instance, Store, entry, version};
use crate::properties;

const INSTANCES: usize = 3;
const KEYS: usize = 4;
/// Time after which upstreams whose entries are lost are given up, and more.
const SETTLED_MS: u64 = 20_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A version, or an upstream's entry.
    Write(usize),
    /// An upstream leaves.
    Delete(usize),
    Read(usize),
    Ask(usize, usize),
    /// Returns without the newest records, with the log or without it.
    Return(usize, bool),
    /// Some of those who wrote lost records write them again.
    WriteAgain(usize),
    Restart(usize),
    /// An answer that was sent when it was read last arrives again.
    LateAnswer(usize),
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..KEYS).prop_map(Step::Write),
        1 => (0..KEYS).prop_map(Step::Delete),
        6 => (0..INSTANCES).prop_map(Step::Read),
        4 => (0..INSTANCES, 0..INSTANCES).prop_map(|(by, of)| Step::Ask(by, of)),
        2 => (0_usize..12, proptest::bool::ANY).prop_map(|(lost, log)| Step::Return(lost, log)),
        3 => (1..=KEYS).prop_map(Step::WriteAgain),
        1 => (0..INSTANCES).prop_map(Step::Restart),
        1 => (0..INSTANCES).prop_map(Step::LateAnswer),
        2 => prop_oneof![Just(100), Just(3_000), Just(11_000)].prop_map(Step::Pass),
    ];
    prop::collection::vec(step, 1..60)
}

struct Run {
    store: Store,
    instances: Vec<Instance>,
    /// What was acknowledged last: the number of each key, unless it is deleted.
    truth: BTreeMap<String, Option<u64>>,
    /// Keys that may be lost, until they are written again.
    pending: VecDeque<String>,
    answers: Vec<Option<Records>>,
    number: u64,
    now_ms: u64,
}

impl Run {
    fn new(stream: Stream) -> Self {
        Self {
            store: Store::new(stream),
            instances: (0..INSTANCES).map(|_| Instance::new()).collect(),
            truth: BTreeMap::new(),
            pending: VecDeque::new(),
            answers: vec![None; INSTANCES],
            number: 0,
            now_ms: 0,
        }
    }

    fn key(&self, index: usize) -> String {
        match self.store.stream {
            Stream::Operator => "config".to_owned(),
            _ => format!("up-{index}"),
        }
    }

    fn write(&mut self, key: &str, is_there: bool) {
        self.number += 1;
        let number = self.number;
        match self.store.stream {
            _ if !is_there => self.store.delete(key),
            Stream::Operator => self.store.write(key, version(number)),
            _ => self.store.write(key, entry(number)),
        }
        self.truth
            .insert(key.to_owned(), is_there.then_some(number));
        self.pending.retain(|pending| pending != key);
    }

    /// Operators write the version again that was acknowledged, upstreams a new entry, and
    /// the platform removes those that are gone.
    fn write_again(&mut self, count: usize) {
        for _ in 0..count {
            let Some(key) = self.pending.pop_front() else {
                return;
            };
            match (self.store.stream, self.truth[&key]) {
                (Stream::Operator, Some(number)) => self.store.write(&key, version(number)),
                (_, None) if !self.store.has(&key) => {}
                (_, known) => self.write(&key, known.is_some()),
            }
        }
    }

    fn take(&mut self, step: Step) {
        let stream = self.store.stream;
        match step {
            Step::Write(index) => self.write(&self.key(index), true),
            Step::Delete(index) => {
                let key = self.key(index);
                // Only an upstream that has an entry can leave.
                if stream == Stream::Upstreams && self.store.has(&key) {
                    self.write(&key, false);
                }
            }
            Step::Read(by) => {
                let next_offset = self.instances[by].view.next_offset(stream);
                self.answers[by] = self.store.read(next_offset);
                self.instances[by].follow(&self.store, self.now_ms);
            }
            Step::Ask(by, of) if by == of => {}
            Step::Ask(by, of) => self.ask(by, of),
            Step::Return(lost, has_history) => {
                self.store.return_from_copy(lost, has_history);
                self.pending = self.truth.keys().cloned().collect();
            }
            Step::WriteAgain(count) => self.write_again(count),
            Step::Restart(index) => self.instances[index] = Instance::new(),
            Step::LateAnswer(by) => {
                let answer = self.answers[by].clone();
                let era = self.instances[by].view.copy(stream).era;
                // The follower drops an answer of an era that has ended.
                if let Some(answer) = answer.filter(|answer| answer.era == era) {
                    self.instances[by].apply_late(stream, answer, self.now_ms);
                }
            }
            Step::Pass(time_ms) => self.now_ms += time_ms,
        }
    }

    /// Lets an instance ask another one.
    fn ask(&mut self, by: usize, of: usize) {
        let mut asking = std::mem::replace(&mut self.instances[by], Instance::new());
        asking.ask(&self.instances[of], self.store.stream, self.now_ms);
        self.instances[by] = asking;
    }

    /// Lets all that was lost be written again, and all instances read that.
    fn settle(&mut self, do_ask: bool) {
        self.write_again(KEYS);
        self.follow_all();
        if do_ask {
            self.write_heartbeats();
            self.follow_all();
            for by in 0..INSTANCES {
                for of in 0..INSTANCES {
                    if by != of {
                        self.ask(by, of);
                    }
                }
            }
        }
        self.now_ms += SETTLED_MS;
        for instance in &mut self.instances {
            instance.view.directory.expire(self.now_ms);
        }
    }

    fn follow_all(&mut self) {
        for instance in &mut self.instances {
            instance.follow(&self.store, self.now_ms);
        }
    }

    /// Upstreams write their entries at every heartbeat; without the entry's order, an
    /// instance that was told of a deletion cannot tell the entry below it from an older one.
    fn write_heartbeats(&mut self) {
        if self.store.stream != Stream::Upstreams {
            return;
        }
        for (key, number) in self.truth.clone() {
            if number.is_some() {
                self.write(&key, true);
            }
        }
    }
}

fn settled(stream: Stream, steps: Vec<Step>, do_ask: bool) -> Run {
    let mut run = Run::new(stream);
    for step in steps {
        if do_ask || !matches!(step, Step::Ask(..)) {
            run.take(step);
        }
    }
    run.settle(do_ask);
    run
}

/// The upstreams that live, with the number of the newest entry of each.
fn living(run: &Run) -> BTreeMap<String, u64> {
    let mut living = BTreeMap::new();
    for (key, number) in &run.truth {
        if let Some(number) = number {
            living.insert(key.clone(), *number);
        }
    }
    living
}

proptest! {
    #![proptest_config(properties::config())]

    // Guards against versions that an instance never applies after a return (soak seed 783).
    #[test]
    fn all_instances_apply_the_newest_version(steps in steps(), do_ask in proptest::bool::ANY) {
        let run = settled(Stream::Operator, steps, do_ask);
        let newest = run.truth.get("config").copied().flatten().unwrap_or(0);
        for instance in &run.instances {
            prop_assert_eq!(instance.version(), newest);
        }
    }

    // Guards against upstreams that live and are not used once they have written their
    // entries again (soak seed 805), and against ones that are gone and are used.
    #[test]
    fn readers_use_the_upstreams_that_live_at_once(steps in steps()) {
        let run = settled(Stream::Upstreams, steps, false);
        for instance in &run.instances {
            prop_assert_eq!(instance.upstreams(), living(&run));
        }
    }

    // Guards against what other instances tell taking back what was read, or hiding it.
    #[test]
    fn all_instances_use_the_upstreams_that_live(steps in steps()) {
        let run = settled(Stream::Upstreams, steps, true);
        for instance in &run.instances {
            prop_assert_eq!(instance.upstreams(), living(&run));
        }
    }
}
