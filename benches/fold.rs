//! Measures the time to apply one record of the configuration stream with the
//! target number of services and organisations: `cargo bench --bench fold`.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use chicorywing::version::fold::Fold;
use chicorywing::version::record::{RECORD_FORMAT, Record};

const SERVICES: usize = 120;
const ORGANISATIONS: usize = 500;
const RECORDS: u64 = 200;

fn objects_text() -> String {
    let mut text = String::from(
        r#"{"data_centres":[{"name":"a","region":"r","state":"in"}],
        "tiers":[{"name":"t","kind":"paying"}],"organisations":["#,
    );
    for number in 0..ORGANISATIONS {
        let comma = if number == 0 { "" } else { "," };
        let _ = write!(
            text,
            r#"{comma}{{"name":"o{number}","tier":"t","key_hashes":["{number:064x}"]}}"#
        );
    }
    text.push_str(r#"],"services":["#);
    for number in 0..SERVICES {
        let comma = if number == 0 { "" } else { "," };
        let _ = write!(
            text,
            r#"{comma}{{"name":"s{number}","slots":2,"run_limit_ms":500,"data_centres":["a"]}}"#
        );
    }
    text.push_str("]}");
    text
}

fn main() {
    let text = objects_text();
    let mut fold = Fold::default();
    let started = Instant::now();
    for offset in 0..RECORDS {
        let record = Record {
            format: RECORD_FORMAT,
            id: format!("id-{offset}").into(),
            based_on: offset,
            snapshot_of: None,
            author: "bench".into(),
            text: text.as_str().into(),
        };
        black_box(fold.apply(offset, &record));
    }
    let us_per_record = started.elapsed().as_micros() / u128::from(RECORDS);
    println!(
        "folding one set of {} bytes ({SERVICES} services, {ORGANISATIONS} organisations): \
         {us_per_record} us; version {}",
        text.len(),
        fold.accepted().version
    );
}
