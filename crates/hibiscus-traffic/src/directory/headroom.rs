//! What the directory knows of the headroom of the instances.

use hibiscus_membership::headroom::Headroom;
use hibiscus_membership::headroom::reports::HeadroomMessage;
use hibiscus_membership::headroom::reports::ReportSubject;
use hibiscus_membership::headroom::shares::ListWeights;
use hibiscus_membership::headroom::shares::ListedInstance;

use crate::directory::InstanceDirectory;
use crate::model::InstanceEntry;

impl InstanceDirectory {
    /// Records the headroom of this instance.
    pub fn note_headroom(&mut self, headroom: Headroom) {
        let now = self.created.elapsed();
        self.headroom.note_own(headroom, now);
        self.headroom.expire(now);
    }

    /// Takes over what another instance knows of the headroom of instances.
    pub fn receive_headroom(&mut self, message: &HeadroomMessage) {
        self.headroom.receive(message, self.created.elapsed());
    }

    /// The next message about headroom, if there is anything to send.
    pub fn next_headroom(&mut self) -> Option<HeadroomMessage> {
        self.headroom.next_message(self.created.elapsed())
    }

    /// Number of other instances that are known to be short of headroom.
    pub fn count_short(&self) -> usize {
        self.headroom.count_short(self.created.elapsed())
    }

    /// Whether most of the capacity of the responding instances is short of headroom.
    pub fn is_fleet_full(&self) -> bool {
        let instances = self.responding().map(|entry| self.listed_instance(entry));
        ListWeights::new(instances).is_fleet_full()
    }

    /// Capacity and headroom of the process that announced `entry`.
    pub(super) fn listed_instance(&self, entry: &InstanceEntry) -> ListedInstance {
        let headroom = if self.headroom.is_empty() {
            Headroom::WHOLE
        } else {
            let subject = ReportSubject::new(&entry.name, entry.incarnation);
            self.headroom.headroom(subject, self.created.elapsed())
        };
        ListedInstance {
            capacity: entry.capacity,
            headroom,
        }
    }
}
