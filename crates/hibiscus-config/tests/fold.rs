//! Verdicts of the configuration fold, and snapshots that follow it.

use hibiscus_config::entry::BrandEntry;
use hibiscus_config::entry::BudgetEntry;
use hibiscus_config::entry::ConfigEntry;
use hibiscus_config::entry::ConfigSection;
use hibiscus_config::entry::EntryKey;
use hibiscus_config::entry::TeamEntry;
use hibiscus_config::entry::TopUpEntry;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::fold::FoldError;
use hibiscus_config::fold::PublicationVerdict;
use hibiscus_config::fold::VERDICT_LIMIT;
use hibiscus_config::record::ConfigRecord;
use hibiscus_config::record::EntryChange;
use hibiscus_config::snapshot::ConfigSnapshot;
use hibiscus_types::TokenCount;
use hibiscus_types::codec;

fn brand(name: &str) -> ConfigEntry {
    ConfigEntry::Brand(BrandEntry {
        name: name.to_owned(),
    })
}

fn team(name: &str, brand: &str) -> ConfigEntry {
    ConfigEntry::Team(TeamEntry {
        name: name.into(),
        brand: brand.to_owned(),
        api_key_sha256: Vec::new(),
    })
}

fn budget(name: &str, team: &str) -> ConfigEntry {
    ConfigEntry::Budget(BudgetEntry {
        name: name.into(),
        team: team.into(),
    })
}

fn top_up(id: &str, budget: &str, tokens: u64) -> ConfigEntry {
    ConfigEntry::TopUp(TopUpEntry {
        id: id.to_owned(),
        budget: budget.into(),
        tokens: TokenCount::new(tokens),
    })
}

fn set(entry: ConfigEntry, replaces: Option<u64>) -> EntryChange {
    EntryChange {
        key: entry.key(),
        entry: Some(entry),
        replaces,
        asked_by: "Ana".to_owned(),
    }
}

fn remove(section: ConfigSection, name: &str, replaces: u64) -> EntryChange {
    EntryChange {
        key: EntryKey::new(section, name),
        entry: None,
        replaces: Some(replaces),
        asked_by: "Ana".to_owned(),
    }
}

/// Applies a publication of `changes` and returns its verdict.
fn publish(fold: &mut ConfigFold, changes: Vec<EntryChange>) -> PublicationVerdict {
    let offset = fold.next_offset();
    let publication = u128::from(offset) + 1;
    let record = ConfigRecord {
        publication,
        changes,
    };
    fold.apply(offset, &record);
    fold.verdict(publication).expect("it was decided").clone()
}

/// Returns the fault messages of a faulty publication.
fn messages(verdict: PublicationVerdict) -> Vec<String> {
    let PublicationVerdict::Faulty(faults) = verdict else {
        panic!("not faulty: {verdict:?}");
    };
    faults.into_iter().map(|fault| fault.message).collect()
}

/// A fold with one brand, team and budget, each set at offset 0.
fn small_fold() -> ConfigFold {
    let mut fold = ConfigFold::default();
    let changes = vec![
        set(brand("north"), None),
        set(team("lab", "north"), None),
        set(budget("gold", "lab"), None),
        set(top_up("t-1", "gold", 100), None),
    ];
    assert_eq!(publish(&mut fold, changes), PublicationVerdict::Accepted(0));
    fold
}

#[test]
fn a_publication_that_leaves_a_dangling_reference_is_refused_as_a_whole() {
    let mut fold = small_fold();
    let changes = vec![
        set(brand("south"), None),
        remove(ConfigSection::Teams, "lab", 0),
    ];
    let verdict = publish(&mut fold, changes);
    assert_eq!(
        messages(verdict),
        ["teams `lab` is still named by 1 other entries"]
    );
    assert_eq!(fold.version(), 1);
    assert_eq!(fold.next_offset(), 2);
    assert!(!fold.entries().contains_key(&brand("south").key()));
    let verdict = publish(&mut fold, vec![set(team("shop", "west"), None)]);
    assert_eq!(messages(verdict), ["brands `west` does not exist"]);
}

#[test]
fn a_team_is_removed_with_its_budgets_and_their_top_ups_are_kept() {
    let mut fold = small_fold();
    let changes = vec![
        remove(ConfigSection::Teams, "lab", 0),
        remove(ConfigSection::Budgets, "gold", 0),
    ];
    assert_eq!(publish(&mut fold, changes), PublicationVerdict::Accepted(1));
    assert!(fold.entries().contains_key(&top_up("t-1", "gold", 1).key()));
}

#[test]
fn a_budget_never_moves_to_another_team_even_after_its_removal() {
    let mut fold = small_fold();
    publish(&mut fold, vec![set(team("shop", "north"), None)]);
    let moved = vec![set(budget("gold", "shop"), Some(0))];
    assert_eq!(
        messages(publish(&mut fold, moved)),
        ["budgets `gold` belongs to team `lab` and cannot move"]
    );
    publish(&mut fold, vec![remove(ConfigSection::Budgets, "gold", 0)]);
    let moved = vec![set(budget("gold", "shop"), None)];
    assert_eq!(
        messages(publish(&mut fold, moved)),
        ["budgets `gold` belongs to team `lab` and cannot move"]
    );
    let back = vec![set(budget("gold", "lab"), None)];
    assert_eq!(publish(&mut fold, back), PublicationVerdict::Accepted(5));
}

#[test]
fn a_top_up_can_neither_change_nor_be_removed() {
    let mut fold = small_fold();
    let changed = vec![set(top_up("t-1", "gold", 900), Some(0))];
    assert_eq!(
        messages(publish(&mut fold, changed)),
        ["top_ups `t-1` was published with other values and cannot change"]
    );
    let gone = vec![remove(ConfigSection::TopUps, "t-1", 0)];
    assert_eq!(
        messages(publish(&mut fold, gone)),
        ["top_ups `t-1` cannot be removed"]
    );
}

#[test]
fn the_later_of_two_changes_to_one_entry_conflicts_with_the_first() {
    let mut fold = small_fold();
    publish(&mut fold, vec![set(team("lab", "north"), Some(0))]);
    let verdict = publish(&mut fold, vec![set(team("lab", "north"), Some(0))]);
    let PublicationVerdict::Conflict(conflicts) = verdict else {
        panic!("no conflict: {verdict:?}");
    };
    assert_eq!(conflicts[0].offset, Some(1));
    assert_eq!(conflicts[0].asked_by.as_deref(), Some("Ana"));
}

#[test]
fn a_repeated_record_changes_nothing_and_a_gap_is_an_error() {
    let mut fold = small_fold();
    let record = ConfigRecord {
        publication: 77,
        changes: vec![set(brand("south"), None)],
    };
    let data = codec::encode(&record).expect("it encodes");
    fold.apply_encoded(1, &data).expect("it is next");
    let before = fold.clone();
    fold.apply_encoded(1, &data).expect("a repeat is harmless");
    assert_eq!(fold, before);
    fold.apply_encoded(2, &data)
        .expect("the log holds it twice");
    assert_eq!(fold.version(), before.version());
    let gap = fold
        .apply_encoded(9, &data)
        .expect_err("records are missing");
    assert!(matches!(gap, FoldError::Gap { offset: 9, next: 3 }));
    assert_eq!(
        gap.to_string(),
        "failed to apply record 9: record 3 must be applied first"
    );
}

#[test]
fn a_newer_format_stops_the_fold_and_a_malformed_record_is_skipped() {
    let mut fold = small_fold();
    let newer = [9_u8, 0, 0];
    let error = fold
        .apply_encoded(1, &newer)
        .expect_err("the format is newer");
    assert_eq!(
        error.to_string(),
        "failed to apply record 1: it needs a newer release"
    );
    assert_eq!(fold.next_offset(), 1);
    fold.apply_encoded(1, &[1, 255, 255])
        .expect("a malformed record is skipped");
    assert_eq!(fold.next_offset(), 2);
}

#[test]
fn a_snapshot_changed_step_by_step_equals_the_snapshot_of_the_fold() {
    let mut fold = ConfigFold::default();
    let mut snapshot = ConfigSnapshot::default();
    let key = "0".repeat(64);
    let with_key = |name: &str| {
        ConfigEntry::Team(TeamEntry {
            name: name.into(),
            brand: "north".to_owned(),
            api_key_sha256: vec![key.clone()],
        })
    };
    let steps = vec![
        vec![set(brand("north"), None), set(with_key("lab"), None)],
        vec![
            set(budget("gold", "lab"), None),
            set(budget("amber", "lab"), None),
        ],
        vec![set(top_up("t-1", "gold", 100), None)],
        // The API key moves to another team in one publication.
        vec![
            set(team("lab", "north"), Some(0)),
            set(with_key("art"), None),
        ],
        vec![remove(ConfigSection::Budgets, "amber", 1)],
    ];
    for changes in steps {
        let verdict = publish(&mut fold, changes.clone());
        assert!(
            matches!(verdict, PublicationVerdict::Accepted(_)),
            "{verdict:?}"
        );
        snapshot.apply(fold.version(), &changes);
        assert_eq!(snapshot, ConfigSnapshot::from_fold(&fold));
    }
    let held = snapshot
        .budget_of(&"lab".into())
        .map(|budget| budget.name.as_str());
    assert_eq!(held, Some("gold"));
    assert_eq!(snapshot.credited(&"gold".into()), TokenCount::new(100));
    let copy = snapshot.clone();
    snapshot.apply(9, &[remove(ConfigSection::Budgets, "gold", 1)]);
    assert!(snapshot.budget_of(&"lab".into()).is_none());
    assert!(copy.budget_of(&"lab".into()).is_some());
}

#[test]
fn the_number_of_kept_verdicts_is_bounded() {
    let mut fold = ConfigFold::default();
    for number in 0..VERDICT_LIMIT as u64 + 10 {
        let record = ConfigRecord {
            publication: u128::from(number),
            changes: Vec::new(),
        };
        fold.apply(number, &record);
    }
    assert_eq!(fold.verdicts().len(), VERDICT_LIMIT);
    assert!(fold.verdict(0).is_none());
}
