//! Tests of Markdown tables and of their insertion into a page.

use guava_bench::table::{BEGIN, END, Table, format_short, replace_marked};
use rstest::rstest;

/// Guards against rows that Markdown splits into another number of cells than the header.
#[test]
fn rows_have_as_many_cells_as_header() {
    let mut table = Table::new(&["a", "b"]);
    table.add_row(vec!["1|2".to_owned()]);
    table.add_row(vec!["x".to_owned(), "y".to_owned(), "surplus".to_owned()]);

    let text = table.to_string();

    assert_eq!(text, "| a | b |\n|---|---|\n| 1\\|2 |  |\n| x | y |\n");
}

/// Guards against a run that changes text outside the markers, or adds a second table instead of replacing the first.
#[test]
fn replaces_only_text_between_markers() {
    let page = format!("before\n{BEGIN}\nold\n{END}\nafter\n");

    let once = replace_marked(&page, "new\n").unwrap();
    let twice = replace_marked(&once, "new\n").unwrap();

    assert_eq!(once, format!("before\n{BEGIN}\nnew\n{END}\nafter\n"));
    assert_eq!(once, twice);
}

/// Guards against overwriting a page whose markers are missing or out of order.
#[rstest]
#[case::no_marker("text".to_owned())]
#[case::no_end(format!("{BEGIN}\ntext"))]
#[case::wrong_order(format!("{END}\n{BEGIN}\n"))]
fn missing_or_misordered_markers_are_rejected(#[case] page: String) {
    let replaced = replace_marked(&page, "new");

    assert!(replaced.is_err(), "{replaced:?}");
}

/// Guards against numbers that lose their magnitude or unit prefix.
#[rstest]
#[case(0.0, "0.00 ")]
#[case(0.01234, "0.0123 ")]
#[case(1.5, "1.50 ")]
#[case(9_999.0, "9999 ")]
#[case(12_345.0, "12.3 k")]
#[case(2_500_000.0, "2.50 M")]
#[case(-3.25e9, "-3.25 G")]
fn numbers_are_rounded_and_prefixed(#[case] value: f64, #[case] expected: &str) {
    assert_eq!(format_short(value), expected);
}
