//! Fleets whose instances watch a few others each and tell what they find.

use std::collections::BTreeMap;
use std::time::Duration;

use hibiscus_membership::detector::FailureDetector;
use hibiscus_membership::detector::SUSPICION_LIMIT;
use hibiscus_membership::rings::FULL_MONITORING_LIMIT;
use hibiscus_membership::rings::RING_COUNT;
use hibiscus_membership::suspicion::FailureSuspicion;
use hibiscus_membership::suspicion::MonitorFinding;
use hibiscus_membership::suspicion::SuspicionMessage;
use hibiscus_types::IncarnationId;
use hibiscus_types::InstanceName;
use hibiscus_types::codec;

/// Time between two rounds, in milliseconds.
const ROUND_MS: u64 = 200;
/// Rounds between two questions to a watched instance.
const ASK_ROUNDS: usize = 4;
/// Rounds between two slow exchanges.
const EXCHANGE_ROUNDS: usize = 10;
/// Rounds within which a death is known to all: 2 s.
const KNOWN_ROUNDS: usize = 10;
/// Steps of passing news on in a round.
const HOPS: usize = 2;
/// Largest message that the link between instances takes, in bytes.
const MESSAGE_BYTES: usize = 64 * 1024;

fn name(number: usize) -> InstanceName {
    format!("front-{number}").as_str().into()
}

/// Pseudo-random numbers from a fixed seed.
struct Draws(u64);

impl Draws {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(self.0 >> 33).expect("31 bits fit") % limit
    }
}

/// One machine.
struct Machine {
    detector: FailureDetector,
    incarnation: u128,
    runs: bool,
    cut: bool,
}

/// A fleet and the messages between its instances.
struct Fleet {
    machines: Vec<Machine>,
    numbers: BTreeMap<InstanceName, usize>,
    round: usize,
    draws: Draws,
    /// One that asks another and gets no answer, while all else passes.
    broken: Option<(usize, usize)>,
    /// Messages of a hundred that get lost.
    lost: usize,
    /// Messages sent, replies included.
    messages: usize,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut fleet = Self {
            machines: Vec::new(),
            numbers: (0..count).map(|number| (name(number), number)).collect(),
            round: 0,
            draws: Draws(17),
            broken: None,
            lost: 0,
            messages: 0,
        };
        for number in 0..count {
            let mut machine = Machine {
                detector: FailureDetector::new(name(number), IncarnationId::from_u128(1)),
                incarnation: 1,
                runs: true,
                cut: false,
            };
            for other in 0..count {
                let incarnation = IncarnationId::from_u128(1);
                let detector = &mut machine.detector;
                detector.announce(&name(other), incarnation, false, Duration::ZERO);
            }
            machine.detector.tick(Duration::ZERO);
            fleet.machines.push(machine);
        }
        // All are past their start.
        fleet.rounds(2 * KNOWN_ROUNDS);
        fleet
    }

    fn now(&self) -> Duration {
        Duration::from_millis(ROUND_MS * u64::try_from(self.round).expect("small"))
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.machines[from], &self.machines[to]);
        from.runs && to.runs && !from.cut && !to.cut
    }

    fn rounds(&mut self, count: usize) {
        for _round in 0..count {
            self.round += 1;
            self.ask();
            for _hop in 0..HOPS {
                self.pass_news();
            }
            self.exchange();
            let now = self.now();
            for machine in &mut self.machines {
                machine.detector.tick(now);
            }
        }
    }

    fn ask(&mut self) {
        let now = self.now();
        for number in 0..self.machines.len() {
            if !self.machines[number].runs || !(self.round + number).is_multiple_of(ASK_ROUNDS) {
                continue;
            }
            for watched in self.machines[number].detector.monitored().clone() {
                let other = self.numbers[&watched];
                let broken = self.broken == Some((number, other));
                let serves = self.reaches(number, other) && !broken;
                self.messages += 2;
                let incarnation = IncarnationId::from_u128(self.machines[other].incarnation);
                let detector = &mut self.machines[number].detector;
                detector.record_finding(&watched, incarnation, serves, now);
            }
        }
    }

    fn contacts(&self, number: usize) -> Vec<usize> {
        let contacts = self.machines[number].detector.contacts();
        contacts.map(|contact| self.numbers[contact]).collect()
    }

    fn pass_news(&mut self) {
        for number in 0..self.machines.len() {
            let machine = &mut self.machines[number];
            if !machine.runs {
                continue;
            }
            let Some(message) = machine.detector.next_update() else {
                continue;
            };
            for contact in self.contacts(number) {
                self.send(number, contact, message.clone());
            }
        }
    }

    fn exchange(&mut self) {
        for number in 0..self.machines.len() {
            if !self.machines[number].runs || !(self.round + number).is_multiple_of(EXCHANGE_ROUNDS)
            {
                continue;
            }
            let contacts = self.contacts(number);
            if contacts.is_empty() {
                continue;
            }
            let contact = contacts[self.draws.below(contacts.len())];
            let message = self.machines[number].detector.next_exchange();
            let joining = message.joining;
            if self.send(number, contact, message) && joining {
                self.machines[number].detector.record_join_response();
            }
        }
    }

    /// Sends a message; true when its answer came.
    fn send(&mut self, from: usize, to: usize, message: SuspicionMessage) -> bool {
        let now = self.now();
        self.messages += 1;
        if !self.reaches(from, to) || self.draws.below(100) < self.lost {
            return false;
        }
        let answer = self.machines[to].detector.receive(message, now);
        self.messages += 1;
        if self.draws.below(100) < self.lost {
            return false;
        }
        self.machines[from].detector.receive_response(answer, now);
        true
    }

    fn kill(&mut self, number: usize) {
        self.machines[number].runs = false;
    }

    fn restart(&mut self, number: usize, incarnation: u128) {
        let process = IncarnationId::from_u128(incarnation);
        let now = self.now();
        let mut detector = FailureDetector::new(name(number), process);
        for (other, machine) in self.machines.iter_mut().enumerate() {
            let theirs = IncarnationId::from_u128(machine.incarnation);
            detector.announce(&name(other), theirs, false, now);
            machine
                .detector
                .announce(&name(number), process, false, now);
            machine.detector.tick(now);
        }
        detector.tick(now);
        self.machines[number] = Machine {
            detector,
            incarnation,
            runs: true,
            cut: false,
        };
    }

    /// Those that run and are not cut off, and hold `number` silent.
    fn holding_silent(&self, number: usize) -> usize {
        let sound = self
            .machines
            .iter()
            .filter(|machine| machine.runs && !machine.cut);
        sound
            .filter(|machine| machine.detector.is_unresponsive(&name(number)))
            .count()
    }

    /// Those that watch `number`.
    fn watchers(&self, number: usize) -> Vec<usize> {
        let watches = |machine: &Machine| machine.detector.monitored().contains(&name(number));
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(_number, machine)| watches(machine))
            .map(|(number, _machine)| number)
            .collect()
    }
}

/// Guards against questions that grow with the square of the fleet.
#[test]
fn an_instance_of_a_large_fleet_watches_few_and_is_watched_by_several() {
    let rings = usize::try_from(RING_COUNT).expect("small");
    for count in [62, 810] {
        let mut watchers: BTreeMap<InstanceName, usize> = BTreeMap::new();
        for number in 0..count {
            let mut detector = FailureDetector::new(name(number), IncarnationId::from_u128(1));
            for other in 0..count {
                let incarnation = IncarnationId::from_u128(1);
                detector.announce(&name(other), incarnation, false, Duration::ZERO);
            }
            detector.tick(Duration::ZERO);
            assert!(detector.monitored().len() <= rings, "{count} instances");
            for watched in detector.monitored() {
                *watchers.entry(watched.clone()).or_default() += 1;
            }
        }
        for number in 0..count {
            let watching = watchers[&name(number)];
            assert!((2..=rings).contains(&watching), "{watching} of {count}");
        }
    }
}

/// Guards against a small fleet that learns of a death by hearsay.
#[test]
fn all_instances_of_a_small_fleet_watch_all_others() {
    let fleet = Fleet::new(FULL_MONITORING_LIMIT + 1);
    for number in 0..=FULL_MONITORING_LIMIT {
        assert_eq!(fleet.watchers(number).len(), FULL_MONITORING_LIMIT);
        assert_eq!(fleet.holding_silent(number), 0);
    }
}

/// Guards against messages at rest that grow with the fleet.
#[test]
fn a_quiet_fleet_exchanges_a_constant_number_of_messages() {
    for count in [62, 300] {
        let mut fleet = Fleet::new(count);
        fleet.messages = 0;
        fleet.rounds(50);
        // 50 rounds are 10 s; each message has a sender and a receiver.
        let each_second = fleet.messages * 2 / count / 10;
        assert!(each_second <= 25, "{each_second} of {count}");
    }
}

/// Guards against callers that are sent to a machine which was killed, and
/// against a verdict that outlives the process it is about.
#[test]
fn a_death_is_known_to_all_in_time_and_a_successor_answers() {
    for count in [10, 62, 300] {
        for lost in [0, 20] {
            let mut fleet = Fleet::new(count);
            fleet.lost = lost;
            fleet.kill(5);
            fleet.rounds(KNOWN_ROUNDS);
            assert_eq!(fleet.holding_silent(5), count - 1, "{count}, lost {lost}");
            // The time of day was set back: the order of names says nothing.
            fleet.restart(5, 0);
            fleet.rounds(1);
            assert_eq!(fleet.holding_silent(5), 0, "{count}, lost {lost}");
            fleet.rounds(3 * KNOWN_ROUNDS);
            assert_eq!(fleet.holding_silent(5), 0, "{count}, lost {lost}");
        }
    }
}

/// Guards against the size that the fleet grows to.
#[test]
fn a_death_is_known_to_all_of_eight_hundred_in_time() {
    let mut fleet = Fleet::new(810);
    fleet.kill(5);
    fleet.rounds(KNOWN_ROUNDS);
    assert_eq!(fleet.holding_silent(5), 809);
}

/// Guards against a watcher that is cut off and takes sound instances out.
#[test]
fn a_watcher_that_is_cut_off_takes_nobody_out_and_returns() {
    let mut fleet = Fleet::new(62);
    fleet.machines[7].cut = true;
    for _round in 0..4 * KNOWN_ROUNDS {
        fleet.rounds(1);
        let others = (0..62).filter(|number| *number != 7);
        let held: usize = others.map(|number| fleet.holding_silent(number)).sum();
        assert_eq!(held, 0);
    }
    assert_eq!(fleet.holding_silent(7), 61);
    fleet.machines[7].cut = false;
    for _round in 0..KNOWN_ROUNDS {
        fleet.rounds(1);
        let mut others = (0..62).filter(|number| *number != 7);
        // What the returned one believes of others is its own affair.
        assert!(others.all(|number| fleet.holding_silent(number) <= 1));
    }
    fleet.rounds(KNOWN_ROUNDS);
    for number in 0..62 {
        assert_eq!(fleet.holding_silent(number), 0, "{number}");
    }
}

/// The verdict that `reporter` gives on `subject` in a fleet of first
/// processes.
fn verdict(reporter: usize, subject: usize, finding: MonitorFinding) -> FailureSuspicion {
    FailureSuspicion {
        subject: name(subject),
        incarnation: IncarnationId::from_u128(1),
        reporter: name(reporter),
        process: IncarnationId::from_u128(1),
        version: 1_000,
        finding,
    }
}

/// Guards against a single watcher that takes a sound instance out: its path
/// to that one alone is broken, and all hear what it says.
#[test]
fn a_watcher_with_one_broken_path_convinces_nobody_else() {
    for lost in [0, 20] {
        let mut fleet = Fleet::new(62);
        fleet.lost = lost;
        fleet.broken = Some((fleet.watchers(9)[0], 9));
        for _round in 0..6 * KNOWN_ROUNDS {
            fleet.rounds(1);
            assert!(fleet.holding_silent(9) <= 1, "lost {lost}");
        }
        assert_eq!(fleet.holding_silent(9), 1, "lost {lost}");
    }
}

/// Guards against a verdict that nobody can take back, since who gave it died.
#[test]
fn a_wrong_verdict_of_a_watcher_that_dies_holds_for_nobody() {
    let mut fleet = Fleet::new(62);
    let watchers = fleet.watchers(9);
    let wrong = SuspicionMessage {
        joining: false,
        verdicts: vec![verdict(watchers[0], 9, MonitorFinding::Unresponsive)],
    };
    let told = (0..62).find(|number| *number != 9 && !watchers.contains(number));
    let told = told.expect("there are 62");
    let now = fleet.now();
    fleet.machines[told].detector.receive(wrong, now);
    fleet.kill(watchers[0]);
    for _round in 0..4 * KNOWN_ROUNDS {
        fleet.rounds(1);
        assert_eq!(fleet.holding_silent(9), 0);
    }
    assert_eq!(fleet.holding_silent(watchers[0]), 61);
}

/// Guards against the dead who outvote the living: most watchers of a sound
/// instance were cut off, said so of it and died.
#[test]
fn verdicts_of_watchers_that_died_are_set_aside() {
    let mut fleet = Fleet::new(62);
    let watchers = fleet.watchers(9);
    assert!(watchers.len() > 2);
    let wrong = watchers[1..].iter();
    let wrong = wrong.map(|watcher| verdict(*watcher, 9, MonitorFinding::Unresponsive));
    let message = SuspicionMessage {
        joining: false,
        verdicts: wrong.collect(),
    };
    let told = (0..62).find(|number| *number != 9 && !watchers.contains(number));
    let told = told.expect("there are 62");
    let now = fleet.now();
    fleet.machines[told].detector.receive(message, now);
    assert!(fleet.machines[told].detector.is_unresponsive(&name(9)));
    for watcher in &watchers[1..] {
        fleet.kill(*watcher);
    }
    fleet.rounds(KNOWN_ROUNDS);
    assert_eq!(fleet.holding_silent(9), 0);
}

/// Guards against a start of all at once at which each watches most others,
/// since nobody serves yet.
#[test]
fn a_fleet_that_starts_watches_no_more_than_one_at_rest() {
    let rings = usize::try_from(RING_COUNT).expect("small");
    let mut detector = FailureDetector::new(name(0), IncarnationId::from_u128(1));
    let first = IncarnationId::from_u128(1);
    for other in 1..62 {
        detector.announce(&name(other), first, false, Duration::ZERO);
    }
    detector.tick(Duration::ZERO);
    let early = Duration::from_millis(100);
    for watched in detector.monitored().clone() {
        detector.record_finding(&watched, first, false, early);
    }
    assert!(detector.monitored().len() <= rings);
    assert!(!detector.has_updates());
    detector.tick(Duration::from_secs(3));
    assert!(detector.monitored().len() > rings);
    assert!(detector.has_updates());
}

/// Guards against an instance that nobody reports, since its watchers died
/// with it.
#[test]
fn the_deaths_of_most_at_once_are_known_to_all_others() {
    for (dead, rounds) in [(31, KNOWN_ROUNDS), (50, 2 * KNOWN_ROUNDS)] {
        let mut fleet = Fleet::new(62);
        for number in 0..dead {
            fleet.kill(number);
        }
        fleet.rounds(rounds);
        for number in 0..62 {
            let expected = if number < dead { 62 - dead } else { 0 };
            assert_eq!(
                fleet.holding_silent(number),
                expected,
                "{number}, {dead} dead"
            );
        }
        for number in 0..dead {
            fleet.restart(number, 2);
        }
        fleet.rounds(3 * KNOWN_ROUNDS);
        for number in 0..62 {
            assert_eq!(fleet.holding_silent(number), 0, "{number}, {dead} dead");
        }
    }
}

/// Guards against a process that starts and sends callers to the dead.
#[test]
fn a_process_that_starts_asks_who_is_silent() {
    let mut fleet = Fleet::new(62);
    fleet.kill(3);
    fleet.rounds(2 * KNOWN_ROUNDS);
    fleet.restart(4, 2);
    fleet.rounds(EXCHANGE_ROUNDS + 1);
    assert!(fleet.machines[4].detector.is_unresponsive(&name(3)));
}

/// Guards against an answer that the link between instances refuses for its
/// size, so that a process which joins a large fleet never learns who is silent
/// (found with issue 20).
#[test]
fn the_answer_to_a_process_that_joins_fits_a_message() {
    const MEMBERS: usize = 400;
    let long = |number: usize| {
        InstanceName::from(format!("front-tx-central-availability-{number:04}").as_str())
    };
    let process = IncarnationId::from_u128(u128::MAX);
    let mut detector = FailureDetector::new(long(0), process);
    for other in 1..MEMBERS {
        detector.announce(&long(other), process, false, Duration::ZERO);
    }
    for subject in 1..MEMBERS {
        for reporter in 1..=4 {
            let verdict = FailureSuspicion {
                subject: long(subject),
                incarnation: process,
                reporter: long(1 + (subject + reporter * 7) % (MEMBERS - 1)),
                process,
                version: u64::MAX,
                finding: MonitorFinding::Unresponsive,
            };
            let message = SuspicionMessage {
                joining: false,
                verdicts: vec![verdict],
            };
            detector.receive(message, Duration::ZERO);
        }
    }
    let question = SuspicionMessage {
        joining: true,
        verdicts: Vec::new(),
    };
    let answer = detector.receive(question, Duration::ZERO);
    assert!(answer.verdicts.len() > 100);
    let bytes = codec::encode(&answer).expect("a message").len();
    assert!(bytes < MESSAGE_BYTES, "{bytes} bytes");
}

/// Guards against late copies of what a replaced process said, and of what
/// was said of one.
#[test]
fn a_verdict_holds_for_one_process_and_gives_way_to_a_newer_one() {
    let mut detector = FailureDetector::new(name(0), IncarnationId::from_u128(1));
    for other in 1..62 {
        let incarnation = IncarnationId::from_u128(1);
        detector.announce(&name(other), incarnation, false, Duration::ZERO);
    }
    detector.tick(Duration::ZERO);
    let mut others = (1..62).filter(|other| !detector.monitored().contains(&name(*other)));
    let subject = others.next().expect("few are watched");
    let reporters = [others.next(), others.next()].map(|other| other.expect("few are watched"));
    let message = |finding, version| SuspicionMessage {
        joining: false,
        verdicts: reporters
            .map(|reporter| FailureSuspicion {
                version,
                ..verdict(reporter, subject, finding)
            })
            .into(),
    };
    let late = Duration::from_secs(60);
    detector.receive(message(MonitorFinding::Unresponsive, 5), late);
    assert!(detector.is_unresponsive(&name(subject)));
    detector.receive(message(MonitorFinding::Responsive, 4), late);
    assert!(detector.is_unresponsive(&name(subject)));
    detector.receive(message(MonitorFinding::Responsive, 6), late);
    assert!(!detector.is_unresponsive(&name(subject)));
    detector.receive(message(MonitorFinding::Unresponsive, 7), late);
    let second = IncarnationId::from_u128(2);
    detector.announce(&name(subject), second, false, late);
    detector.receive(message(MonitorFinding::Unresponsive, 8), late);
    assert!(!detector.is_unresponsive(&name(subject)));
    detector.announce(&name(subject), second, false, late);
    detector.announce(&name(reporters[0]), second, false, late);
    assert!(!detector.is_unresponsive(&name(subject)));
}

/// Guards against a majority of watchers that do not answer themselves.
#[test]
fn what_silent_watchers_say_does_not_count() {
    let mut detector = FailureDetector::new(name(0), IncarnationId::from_u128(1));
    for other in 1..62 {
        let incarnation = IncarnationId::from_u128(1);
        detector.announce(&name(other), incarnation, false, Duration::ZERO);
    }
    detector.tick(Duration::ZERO);
    let others = (1..62).filter(|other| !detector.monitored().contains(&name(*other)));
    let others: Vec<usize> = others.collect();
    let (subject, affirming) = (others[0], others[1]);
    let accusing = &others[2..5];
    let mut verdicts = vec![verdict(affirming, subject, MonitorFinding::Responsive)];
    for accuser in accusing {
        verdicts.push(verdict(*accuser, subject, MonitorFinding::Unresponsive));
    }
    let late = Duration::from_secs(60);
    detector.receive(
        SuspicionMessage {
            joining: false,
            verdicts,
        },
        late,
    );
    assert!(detector.is_unresponsive(&name(subject)));
    let mut verdicts = Vec::new();
    for accuser in accusing {
        for watcher in &others[5..7] {
            verdicts.push(verdict(*watcher, *accuser, MonitorFinding::Unresponsive));
        }
    }
    detector.receive(
        SuspicionMessage {
            joining: false,
            verdicts,
        },
        late,
    );
    assert!(!detector.is_unresponsive(&name(subject)));
    assert!(
        accusing
            .iter()
            .all(|accuser| detector.is_unresponsive(&name(*accuser)))
    );
}

/// Guards against messages whose size grows with the trouble.
#[test]
fn a_message_holds_a_bounded_number_of_verdicts() {
    let mut fleet = Fleet::new(62);
    for number in 0..31 {
        fleet.kill(number);
    }
    for _round in 0..KNOWN_ROUNDS {
        fleet.round += 1;
        fleet.ask();
        for machine in &mut fleet.machines {
            let mut detector = machine.detector.clone();
            let news = detector.next_update().unwrap_or_default();
            assert!(news.verdicts.len() <= SUSPICION_LIMIT);
            assert!(detector.next_exchange().verdicts.len() <= SUSPICION_LIMIT);
        }
        fleet.pass_news();
    }
}
