//! Decoders and the configuration fold under arbitrary input from a fixed
//! seed.

use std::collections::BTreeMap;

use hibiscus_clients::engine::ChatChunk;
use hibiscus_clients::log::WirePage;
use hibiscus_config::entry::BrandEntry;
use hibiscus_config::entry::ConfigEntry;
use hibiscus_config::entry::EntryKey;
use hibiscus_config::file::OperatorFile;
use hibiscus_config::fold::ConfigFold;
use hibiscus_config::record::ConfigRecord;
use hibiscus_config::record::EntryChange;
use hibiscus_events::recorder::EventPage;
use hibiscus_ledger::record::LedgerRecord;
use hibiscus_ledger::record::RecordBatch;
use hibiscus_ledger::record::RequestOpen;
use hibiscus_membership::gossip::GossipMessage;
use hibiscus_membership::view::InstanceHeartbeat;
use hibiscus_router::ledger::broker::BrokerReply;
use hibiscus_router::ledger::broker::BrokerRequest;
use hibiscus_router::peer::PeerReply;
use hibiscus_router::peer::PeerRequest;
use hibiscus_router::settings::RouterSettings;
use hibiscus_types::GrantId;
use hibiscus_types::IncarnationId;
use hibiscus_types::RequestKey;
use hibiscus_types::TokenCount;
use hibiscus_types::UnixMillis;
use hibiscus_types::codec;
use hibiscus_types::codec::CodecError;
use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::RngSeed;

/// Longest arbitrary input, in bytes.
const INPUT_LIMIT: usize = 600;
/// Seed of all inputs.
const SEED: u64 = 20_261_203;
/// Brands that fuzzed publications change.
const BRANDS: u8 = 4;

/// Decodes `bytes` as every type that crosses a process boundary.
fn decode_all(bytes: &[u8]) {
    let _any = codec::decode::<PeerRequest>(bytes);
    let _any = codec::decode::<PeerReply>(bytes);
    let _any = codec::decode::<RecordBatch>(bytes);
    let _any = codec::decode::<ConfigRecord>(bytes);
    let _any = serde_json::from_slice::<ChatChunk>(bytes);
    let _any = serde_json::from_slice::<WirePage>(bytes);
    let _any = serde_json::from_slice::<EventPage>(bytes);
    let text = String::from_utf8_lossy(bytes);
    let _any = OperatorFile::parse(&text);
    let _any = RouterSettings::parse(&text);
}

fn open(number: u64) -> RequestOpen {
    RequestOpen {
        key: RequestKey::new("shop".into(), format!("key-{number}")),
        grant: GrantId::from_u128(u128::from(number)),
        reserved: TokenCount::new(number),
        server: "engine-1".into(),
        exclusive: number.is_multiple_of(2),
        attempt: 0,
        opened: UnixMillis::new(number),
    }
}

/// One encoded value of each kind.
fn samples(number: u64) -> Vec<Vec<u8>> {
    let batch = RecordBatch {
        incarnation: IncarnationId::from_u128(u128::from(number)),
        sequence: number,
        records: vec![LedgerRecord::Open(open(number)); 3],
    };
    let heartbeat = InstanceHeartbeat {
        name: "router-1".into(),
        ..heartbeat_sample()
    };
    let message = GossipMessage {
        heartbeat,
        joining: true,
        items: Vec::new(),
    };
    let request = PeerRequest::Broker(BrokerRequest::OpenFirst { open: open(number) });
    let reply = PeerReply::Broker(BrokerReply::Budgets {
        offset: number,
        budgets: BTreeMap::new(),
    });
    [
        codec::encode(&batch),
        codec::encode(&PeerRequest::Heartbeat(message)),
        codec::encode(&request),
        codec::encode(&reply),
        codec::encode(&publication(number, 1, None)),
    ]
    .into_iter()
    .map(|encoded| encoded.expect("a sample encodes"))
    .collect()
}

/// A heartbeat as an idle instance sends it.
fn heartbeat_sample() -> InstanceHeartbeat {
    serde_json::from_str(
        r#"{"name":"router-1","incarnation":"01936f2e-7b00-7000-8000-000000000001","uptime_ms":1,"stopping":false,"configured":true,"load":0,"config_version":1}"#,
    )
    .expect("the sample is a heartbeat")
}

/// A publication that replaces the version `replaces` of a brand.
fn publication(number: u64, brand: u8, replaces: Option<u64>) -> ConfigRecord {
    let entry = ConfigEntry::Brand(BrandEntry {
        name: format!("brand-{brand}"),
    });
    ConfigRecord {
        publication: u128::from(number),
        changes: vec![EntryChange {
            key: entry.key(),
            entry: Some(entry),
            replaces,
            asked_by: format!("operator {number}"),
        }],
    }
}

/// The same inputs in every run.
fn fixed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

/// What a fold decided on each publication, and its entries.
fn outcome(fold: &ConfigFold, numbers: &[u64]) -> (Vec<String>, BTreeMap<EntryKey, String>) {
    let verdicts = numbers
        .iter()
        .map(|number| format!("{:?}", fold.verdict(u128::from(*number))))
        .collect();
    let entries = fold
        .entries()
        .iter()
        .map(|(key, state)| (key.clone(), state.asked_by.clone()))
        .collect();
    (verdicts, entries)
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn arbitrary_bytes_never_panic_a_decoder(bytes in vec(any::<u8>(), 0..INPUT_LIMIT)) {
        decode_all(&bytes);
    }

    #[test]
    fn arbitrary_json_like_text_never_panics_a_decoder(
        text in "[\\[\\]{}:,\"0-9a-z_/*\\\\ \n.-]{0,400}"
    ) {
        decode_all(text.as_bytes());
    }

    #[test]
    fn truncated_and_damaged_values_never_panic_and_never_decode_short(
        number in any::<u64>(),
        cut in any::<prop::sample::Index>(),
        place in any::<prop::sample::Index>(),
        value in any::<u8>(),
    ) {
        for encoded in samples(number) {
            decode_all(&encoded);
            let short = &encoded[..cut.index(encoded.len())];
            decode_all(short);
            prop_assert!(codec::decode::<RecordBatch>(short).is_err());
            let mut damaged = encoded.clone();
            let index = place.index(damaged.len());
            damaged[index] = value;
            decode_all(&damaged);
        }
    }

    #[test]
    fn a_value_of_a_newer_format_is_refused_whatever_follows(
        format in (codec::FORMAT_VERSION + 1)..u16::MAX,
        bytes in vec(any::<u8>(), 0..INPUT_LIMIT),
    ) {
        let mut newer = postcard_varint(format);
        newer.extend(bytes);
        let refused = codec::decode::<RecordBatch>(&newer);
        let found_format = matches!(
            refused,
            Err(CodecError::NewerFormat { found }) if found == format
        );
        prop_assert!(found_format);
    }

    #[test]
    fn the_configuration_fold_gives_every_reader_one_verdict(
        publications in vec((0..40_u64, 0..BRANDS, prop::option::of(0..40_u64)), 1..40),
        repeats in vec(any::<prop::sample::Index>(), 0..20),
    ) {
        let mut numbers = Vec::new();
        let mut once = ConfigFold::default();
        let mut often = ConfigFold::default();
        let mut version = 0;
        for (offset, (number, brand, replaces)) in publications.iter().enumerate() {
            let record = publication(*number, *brand, *replaces);
            let offset = offset as u64;
            let decided = once.verdict(u128::from(*number)).cloned();
            once.apply(offset, &record);
            often.apply(offset, &record);
            often.apply(offset, &record);
            for repeat in &repeats {
                let earlier = repeat.index(publications.len()) as u64;
                if earlier > offset {
                    continue;
                }
                let (number, brand, replaces) = publications[earlier as usize];
                often.apply(earlier, &publication(number, brand, replaces));
            }
            prop_assert!(once.version() >= version, "a version reverted");
            version = once.version();
            prop_assert_eq!(once.next_offset(), offset + 1);
            if decided.is_some() {
                let now = once.verdict(u128::from(*number)).cloned();
                prop_assert_eq!(decided, now, "a verdict changed");
            }
            numbers.push(*number);
        }
        prop_assert_eq!(outcome(&once, &numbers), outcome(&often, &numbers));
        prop_assert_eq!(once.version(), often.version());
    }
}

/// A number as the codec writes it.
fn postcard_varint(mut number: u16) -> Vec<u8> {
    let mut bytes = Vec::new();
    while number >= 0x80 {
        bytes.push(u8::try_from(number & 0x7f).expect("seven bits fit") | 0x80);
        number >>= 7;
    }
    bytes.push(u8::try_from(number).expect("seven bits fit"));
    bytes
}
