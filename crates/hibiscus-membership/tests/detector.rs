//! Failure detection in simulated fleets whose instances monitor each other and
//! exchange their findings.

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
/// Rounds between two probes of a monitored instance.
const PROBE_ROUNDS: usize = 4;
/// Rounds between two periodic exchanges.
const EXCHANGE_ROUNDS: usize = 10;
/// Rounds within which all instances detect a failure: 2 s.
const DETECTION_ROUNDS: usize = 10;
/// Times that updates are forwarded in a round.
const HOPS_PER_ROUND: usize = 2;
/// Largest message that the link between instances accepts, in bytes.
const MESSAGE_BYTES: usize = 64 * 1024;

fn name(number: usize) -> InstanceName {
    format!("front-{number}").as_str().into()
}

/// Pseudo-random numbers from a fixed seed.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        usize::try_from(self.0 >> 33).expect("31 bits fit") % limit
    }
}

/// One simulated instance.
struct Member {
    detector: FailureDetector,
    incarnation: u128,
    running: bool,
    cut_off: bool,
}

/// A simulated fleet with the messages between its instances.
struct Fleet {
    members: Vec<Member>,
    numbers: BTreeMap<InstanceName, usize>,
    round: usize,
    random: Random,
    /// A member and another one whose responses to its probes get lost, while
    /// all other messages arrive.
    broken_path: Option<(usize, usize)>,
    /// Percentage of messages that get lost.
    lost: usize,
    /// Messages sent, including responses.
    messages: usize,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut fleet = Self {
            members: Vec::new(),
            numbers: (0..count).map(|number| (name(number), number)).collect(),
            round: 0,
            random: Random(17),
            broken_path: None,
            lost: 0,
            messages: 0,
        };
        for number in 0..count {
            let mut member = Member {
                detector: FailureDetector::new(name(number), IncarnationId::from_u128(1)),
                incarnation: 1,
                running: true,
                cut_off: false,
            };
            for other in 0..count {
                let incarnation = IncarnationId::from_u128(1);
                let detector = &mut member.detector;
                detector.announce(&name(other), incarnation, false, Duration::ZERO);
            }
            member.detector.tick(Duration::ZERO);
            fleet.members.push(member);
        }
        // All members are past their startup grace.
        fleet.rounds(2 * DETECTION_ROUNDS);
        fleet
    }

    fn now(&self) -> Duration {
        Duration::from_millis(ROUND_MS * u64::try_from(self.round).expect("small"))
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.members[from], &self.members[to]);
        from.running && to.running && !from.cut_off && !to.cut_off
    }

    fn rounds(&mut self, count: usize) {
        for _round in 0..count {
            self.round += 1;
            self.probe();
            for _hop in 0..HOPS_PER_ROUND {
                self.send_updates();
            }
            self.exchange();
            let now = self.now();
            for member in &mut self.members {
                member.detector.tick(now);
            }
        }
    }

    fn probe(&mut self) {
        let now = self.now();
        for number in 0..self.members.len() {
            if !self.members[number].running || !(self.round + number).is_multiple_of(PROBE_ROUNDS)
            {
                continue;
            }
            for monitored in self.members[number].detector.monitored().clone() {
                let other = self.numbers[&monitored];
                let broken_path = self.broken_path == Some((number, other));
                let serves = self.reaches(number, other) && !broken_path;
                self.messages += 2;
                let incarnation = IncarnationId::from_u128(self.members[other].incarnation);
                let detector = &mut self.members[number].detector;
                detector.record_finding(&monitored, incarnation, serves, now);
            }
        }
    }

    fn contacts(&self, number: usize) -> Vec<usize> {
        let contacts = self.members[number].detector.contacts();
        contacts.map(|contact| self.numbers[contact]).collect()
    }

    fn send_updates(&mut self) {
        for number in 0..self.members.len() {
            let member = &mut self.members[number];
            if !member.running {
                continue;
            }
            let Some(message) = member.detector.next_update() else {
                continue;
            };
            for contact in self.contacts(number) {
                self.send(number, contact, message.clone());
            }
        }
    }

    fn exchange(&mut self) {
        for number in 0..self.members.len() {
            if !self.members[number].running
                || !(self.round + number).is_multiple_of(EXCHANGE_ROUNDS)
            {
                continue;
            }
            let contacts = self.contacts(number);
            if contacts.is_empty() {
                continue;
            }
            let contact = contacts[self.random.below(contacts.len())];
            let message = self.members[number].detector.next_exchange();
            let joining = message.joining;
            if self.send(number, contact, message) && joining {
                self.members[number].detector.record_join_response();
            }
        }
    }

    /// Sends a message; returns true if the response arrived.
    fn send(&mut self, from: usize, to: usize, message: SuspicionMessage) -> bool {
        let now = self.now();
        self.messages += 1;
        if !self.reaches(from, to) || self.random.below(100) < self.lost {
            return false;
        }
        let response = self.members[to].detector.receive(message, now);
        self.messages += 1;
        if self.random.below(100) < self.lost {
            return false;
        }
        self.members[from].detector.receive_response(response, now);
        true
    }

    fn kill(&mut self, number: usize) {
        self.members[number].running = false;
    }

    fn restart(&mut self, number: usize, incarnation: u128) {
        let process = IncarnationId::from_u128(incarnation);
        let now = self.now();
        let mut detector = FailureDetector::new(name(number), process);
        for (other, member) in self.members.iter_mut().enumerate() {
            let theirs = IncarnationId::from_u128(member.incarnation);
            detector.announce(&name(other), theirs, false, now);
            member.detector.announce(&name(number), process, false, now);
            member.detector.tick(now);
        }
        detector.tick(now);
        self.members[number] = Member {
            detector,
            incarnation,
            running: true,
            cut_off: false,
        };
    }

    /// Returns how many running and connected members consider `number`
    /// unresponsive.
    fn considering_unresponsive(&self, number: usize) -> usize {
        let sound = self
            .members
            .iter()
            .filter(|member| member.running && !member.cut_off);
        sound
            .filter(|member| member.detector.is_unresponsive(&name(number)))
            .count()
    }

    /// Returns the monitors of `number`.
    fn monitors(&self, number: usize) -> Vec<usize> {
        let is_monitor = |member: &Member| member.detector.monitored().contains(&name(number));
        let members = self.members.iter().enumerate();
        members
            .filter(|(_number, member)| is_monitor(member))
            .map(|(number, _machine)| number)
            .collect()
    }
}

/// Guards against probes whose number grows with the square of the fleet size.
#[test]
fn an_instance_of_a_large_fleet_monitors_few_and_has_several_monitors() {
    let rings = usize::try_from(RING_COUNT).expect("small");
    for count in [62, 810] {
        let mut monitors: BTreeMap<InstanceName, usize> = BTreeMap::new();
        for number in 0..count {
            let mut detector = FailureDetector::new(name(number), IncarnationId::from_u128(1));
            for other in 0..count {
                let incarnation = IncarnationId::from_u128(1);
                detector.announce(&name(other), incarnation, false, Duration::ZERO);
            }
            detector.tick(Duration::ZERO);
            assert!(detector.monitored().len() <= rings, "{count} instances");
            for monitored in detector.monitored() {
                *monitors.entry(monitored.clone()).or_default() += 1;
            }
        }
        for number in 0..count {
            let watching = monitors[&name(number)];
            assert!((2..=rings).contains(&watching), "{watching} of {count}");
        }
    }
}

/// Guards against a small fleet in which failures are detected through reports
/// of others only.
#[test]
fn all_instances_of_a_small_fleet_monitor_all_others() {
    let fleet = Fleet::new(FULL_MONITORING_LIMIT + 1);
    for number in 0..=FULL_MONITORING_LIMIT {
        assert_eq!(fleet.monitors(number).len(), FULL_MONITORING_LIMIT);
        assert_eq!(fleet.considering_unresponsive(number), 0);
    }
}

/// Guards against a message rate of an instance that grows with the fleet while
/// nothing fails.
#[test]
fn a_fleet_without_failures_exchanges_a_constant_number_of_messages() {
    for count in [62, 300] {
        let mut fleet = Fleet::new(count);
        fleet.messages = 0;
        fleet.rounds(50);
        // 50 rounds are 10 s; each message has a sender and a receiver.
        let each_second = fleet.messages * 2 / count / 10;
        assert!(each_second <= 25, "{each_second} of {count}");
    }
}

/// Guards against callers that are directed to a killed instance, and against a
/// suspicion that still applies after its process was replaced.
#[test]
fn all_detect_a_failure_in_time_and_accept_the_restarted_process() {
    for count in [10, 62, 300] {
        for lost in [0, 20] {
            let mut fleet = Fleet::new(count);
            fleet.lost = lost;
            fleet.kill(5);
            fleet.rounds(DETECTION_ROUNDS);
            assert_eq!(
                fleet.considering_unresponsive(5),
                count - 1,
                "{count}, lost {lost}"
            );
            // The restarted process has a smaller incarnation, as after the
            // clock was set back.
            fleet.restart(5, 0);
            fleet.rounds(1);
            assert_eq!(fleet.considering_unresponsive(5), 0, "{count}, lost {lost}");
            fleet.rounds(3 * DETECTION_ROUNDS);
            assert_eq!(fleet.considering_unresponsive(5), 0, "{count}, lost {lost}");
        }
    }
}

/// Guards against detection that is too slow in a fleet of the largest size.
#[test]
fn eight_hundred_instances_detect_a_failure_in_time() {
    let mut fleet = Fleet::new(810);
    fleet.kill(5);
    fleet.rounds(DETECTION_ROUNDS);
    assert_eq!(fleet.considering_unresponsive(5), 809);
}

/// Guards against a monitor that is cut off from the network and takes healthy
/// instances out of service.
#[test]
fn a_monitor_that_is_cut_off_takes_no_instance_out_and_returns() {
    let mut fleet = Fleet::new(62);
    fleet.members[7].cut_off = true;
    for _round in 0..4 * DETECTION_ROUNDS {
        fleet.rounds(1);
        let others = (0..62).filter(|number| *number != 7);
        let held: usize = others
            .map(|number| fleet.considering_unresponsive(number))
            .sum();
        assert_eq!(held, 0);
    }
    assert_eq!(fleet.considering_unresponsive(7), 61);
    fleet.members[7].cut_off = false;
    for _round in 0..DETECTION_ROUNDS {
        fleet.rounds(1);
        let mut others = (0..62).filter(|number| *number != 7);
        // The returned instance itself may still consider others unresponsive.
        assert!(others.all(|number| fleet.considering_unresponsive(number) <= 1));
    }
    fleet.rounds(DETECTION_ROUNDS);
    for number in 0..62 {
        assert_eq!(fleet.considering_unresponsive(number), 0, "{number}");
    }
}

/// The suspicion of `reporter` about `subject` in a fleet whose processes are
/// the first of their instances.
fn suspicion(reporter: usize, subject: usize, finding: MonitorFinding) -> FailureSuspicion {
    FailureSuspicion {
        subject: name(subject),
        incarnation: IncarnationId::from_u128(1),
        reporter: name(reporter),
        process: IncarnationId::from_u128(1),
        version: 1_000,
        finding,
    }
}

/// Guards against a single monitor that takes a healthy instance out of service:
/// only its path to that instance is broken, and all receive its suspicion.
#[test]
fn a_monitor_with_one_broken_path_convinces_no_other_instance() {
    for lost in [0, 20] {
        let mut fleet = Fleet::new(62);
        fleet.lost = lost;
        fleet.broken_path = Some((fleet.monitors(9)[0], 9));
        for _round in 0..6 * DETECTION_ROUNDS {
            fleet.rounds(1);
            assert!(fleet.considering_unresponsive(9) <= 1, "lost {lost}");
        }
        assert_eq!(fleet.considering_unresponsive(9), 1, "lost {lost}");
    }
}

/// Guards against a wrong suspicion that can't be withdrawn, since its monitor
/// failed.
#[test]
fn a_wrong_suspicion_of_a_monitor_that_fails_convinces_no_instance() {
    let mut fleet = Fleet::new(62);
    let monitors = fleet.monitors(9);
    let wrong = SuspicionMessage {
        joining: false,
        suspicions: vec![suspicion(monitors[0], 9, MonitorFinding::Unresponsive)],
    };
    let receiver = (0..62).find(|number| *number != 9 && !monitors.contains(number));
    let receiver = receiver.expect("there are 62");
    let now = fleet.now();
    fleet.members[receiver].detector.receive(wrong, now);
    fleet.kill(monitors[0]);
    for _round in 0..4 * DETECTION_ROUNDS {
        fleet.rounds(1);
        assert_eq!(fleet.considering_unresponsive(9), 0);
    }
    assert_eq!(fleet.considering_unresponsive(monitors[0]), 61);
}

/// Guards against failed monitors that outvote the remaining ones: most monitors
/// of a healthy instance reported it as unresponsive while they were cut off,
/// and then failed.
#[test]
fn suspicions_of_failed_monitors_do_not_count() {
    let mut fleet = Fleet::new(62);
    let monitors = fleet.monitors(9);
    assert!(monitors.len() > 2);
    let wrong = monitors[1..].iter();
    let wrong = wrong.map(|monitor| suspicion(*monitor, 9, MonitorFinding::Unresponsive));
    let message = SuspicionMessage {
        joining: false,
        suspicions: wrong.collect(),
    };
    let receiver = (0..62).find(|number| *number != 9 && !monitors.contains(number));
    let receiver = receiver.expect("there are 62");
    let now = fleet.now();
    fleet.members[receiver].detector.receive(message, now);
    assert!(fleet.members[receiver].detector.is_unresponsive(&name(9)));
    for monitor in &monitors[1..] {
        fleet.kill(*monitor);
    }
    fleet.rounds(DETECTION_ROUNDS);
    assert_eq!(fleet.considering_unresponsive(9), 0);
}

/// Guards against a simultaneous start of all instances at which each monitors
/// most others, since none serves yet.
#[test]
fn a_starting_instance_monitors_no_more_others_than_a_running_one() {
    let rings = usize::try_from(RING_COUNT).expect("small");
    let mut detector = FailureDetector::new(name(0), IncarnationId::from_u128(1));
    let first = IncarnationId::from_u128(1);
    for other in 1..62 {
        detector.announce(&name(other), first, false, Duration::ZERO);
    }
    detector.tick(Duration::ZERO);
    let early = Duration::from_millis(100);
    for monitored in detector.monitored().clone() {
        detector.record_finding(&monitored, first, false, early);
    }
    assert!(detector.monitored().len() <= rings);
    assert!(!detector.has_updates());
    detector.tick(Duration::from_secs(3));
    assert!(detector.monitored().len() > rings);
    assert!(detector.has_updates());
}

/// Guards against a failed instance that is not reported, since its monitors
/// failed with it.
#[test]
fn all_others_detect_the_failure_of_most_at_once() {
    for (dead, rounds) in [(31, DETECTION_ROUNDS), (50, 2 * DETECTION_ROUNDS)] {
        let mut fleet = Fleet::new(62);
        for number in 0..dead {
            fleet.kill(number);
        }
        fleet.rounds(rounds);
        for number in 0..62 {
            let expected = if number < dead { 62 - dead } else { 0 };
            assert_eq!(
                fleet.considering_unresponsive(number),
                expected,
                "{number}, {dead} dead"
            );
        }
        for number in 0..dead {
            fleet.restart(number, 2);
        }
        fleet.rounds(3 * DETECTION_ROUNDS);
        for number in 0..62 {
            assert_eq!(
                fleet.considering_unresponsive(number),
                0,
                "{number}, {dead} dead"
            );
        }
    }
}

/// Guards against a starting process that directs callers to failed instances.
#[test]
fn a_starting_process_requests_the_unresponsive_instances() {
    let mut fleet = Fleet::new(62);
    fleet.kill(3);
    fleet.rounds(2 * DETECTION_ROUNDS);
    fleet.restart(4, 2);
    fleet.rounds(EXCHANGE_ROUNDS + 1);
    assert!(fleet.members[4].detector.is_unresponsive(&name(3)));
}

/// Guards against a response that the link between instances refuses for its
/// size, so that a process that joins a large fleet never receives the
/// unresponsive instances (found with issue 20).
#[test]
fn the_response_to_a_joining_process_fits_in_a_message() {
    const MEMBERS: usize = 400;
    let long_name = |number: usize| {
        InstanceName::from(format!("front-tx-central-availability-{number:04}").as_str())
    };
    let process = IncarnationId::from_u128(u128::MAX);
    let mut detector = FailureDetector::new(long_name(0), process);
    for other in 1..MEMBERS {
        detector.announce(&long_name(other), process, false, Duration::ZERO);
    }
    for subject in 1..MEMBERS {
        for reporter in 1..=4 {
            let suspicion = FailureSuspicion {
                subject: long_name(subject),
                incarnation: process,
                reporter: long_name(1 + (subject + reporter * 7) % (MEMBERS - 1)),
                process,
                version: u64::MAX,
                finding: MonitorFinding::Unresponsive,
            };
            let message = SuspicionMessage {
                joining: false,
                suspicions: vec![suspicion],
            };
            detector.receive(message, Duration::ZERO);
        }
    }
    let request = SuspicionMessage {
        joining: true,
        suspicions: Vec::new(),
    };
    let response = detector.receive(request, Duration::ZERO);
    assert!(response.suspicions.len() > 100);
    let bytes = codec::encode(&response).expect("a message").len();
    assert!(bytes < MESSAGE_BYTES, "{bytes} bytes");
}

/// Guards against late copies of suspicions about or from a replaced process.
#[test]
fn a_suspicion_applies_to_one_process_and_yields_to_a_newer_one() {
    let mut detector = FailureDetector::new(name(0), IncarnationId::from_u128(1));
    for other in 1..62 {
        let incarnation = IncarnationId::from_u128(1);
        detector.announce(&name(other), incarnation, false, Duration::ZERO);
    }
    detector.tick(Duration::ZERO);
    let mut others = (1..62).filter(|other| !detector.monitored().contains(&name(*other)));
    let subject = others.next().expect("few are monitored");
    let reporters = [others.next(), others.next()].map(|other| other.expect("few are monitored"));
    let message = |finding, version| SuspicionMessage {
        joining: false,
        suspicions: reporters
            .map(|reporter| FailureSuspicion {
                version,
                ..suspicion(reporter, subject, finding)
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

/// Guards against a majority of monitors that are unresponsive themselves.
#[test]
fn suspicions_of_unresponsive_monitors_do_not_count() {
    let mut detector = FailureDetector::new(name(0), IncarnationId::from_u128(1));
    for other in 1..62 {
        let incarnation = IncarnationId::from_u128(1);
        detector.announce(&name(other), incarnation, false, Duration::ZERO);
    }
    detector.tick(Duration::ZERO);
    let others = (1..62).filter(|other| !detector.monitored().contains(&name(*other)));
    let others: Vec<usize> = others.collect();
    let (subject, contradicting) = (others[0], others[1]);
    let reporters = &others[2..5];
    let mut suspicions = vec![suspicion(
        contradicting,
        subject,
        MonitorFinding::Responsive,
    )];
    for reporter in reporters {
        suspicions.push(suspicion(*reporter, subject, MonitorFinding::Unresponsive));
    }
    let late = Duration::from_secs(60);
    detector.receive(
        SuspicionMessage {
            joining: false,
            suspicions,
        },
        late,
    );
    assert!(detector.is_unresponsive(&name(subject)));
    let mut suspicions = Vec::new();
    for reporter in reporters {
        for monitor in &others[5..7] {
            suspicions.push(suspicion(*monitor, *reporter, MonitorFinding::Unresponsive));
        }
    }
    detector.receive(
        SuspicionMessage {
            joining: false,
            suspicions,
        },
        late,
    );
    assert!(!detector.is_unresponsive(&name(subject)));
    assert!(
        reporters
            .iter()
            .all(|reporter| detector.is_unresponsive(&name(*reporter)))
    );
}

/// Guards against messages whose size grows with the number of failures.
#[test]
fn a_message_holds_a_bounded_number_of_suspicions() {
    let mut fleet = Fleet::new(62);
    for number in 0..31 {
        fleet.kill(number);
    }
    for _round in 0..DETECTION_ROUNDS {
        fleet.round += 1;
        fleet.probe();
        for member in &mut fleet.members {
            let mut detector = member.detector.clone();
            let update = detector.next_update().unwrap_or_default();
            assert!(update.suspicions.len() <= SUSPICION_LIMIT);
            assert!(detector.next_exchange().suspicions.len() <= SUSPICION_LIMIT);
        }
        fleet.send_updates();
    }
}
