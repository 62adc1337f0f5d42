//! Tables and their place on a page.

use guava_bench::table::{BEGIN, END, Table, replace_marked, short};
use rstest::rstest;

/// Guards against rows that a Markdown reader splits differently from the head.
#[test]
fn a_table_has_the_same_number_of_cells_in_each_row() {
    let mut table = Table::new(&["a", "b"]);
    table.row(vec!["1|2".to_owned()]);
    table.row(vec!["x".to_owned(), "y".to_owned(), "surplus".to_owned()]);

    let text = table.to_string();

    assert_eq!(text, "| a | b |\n|---|---|\n| 1\\|2 |  |\n| x | y |\n");
}

/// Guards against a run that changes the hand-written part of the page or piles up tables.
#[test]
fn only_the_marked_part_is_replaced() {
    let page = format!("before\n{BEGIN}\nold\n{END}\nafter\n");

    let once = replace_marked(&page, "new\n").unwrap();
    let twice = replace_marked(&once, "new\n").unwrap();

    assert_eq!(once, format!("before\n{BEGIN}\nnew\n{END}\nafter\n"));
    assert_eq!(once, twice);
}

/// Guards against a page that is overwritten although the place of the table is not clear.
#[rstest]
#[case::no_marker("text".to_owned())]
#[case::no_end(format!("{BEGIN}\ntext"))]
#[case::wrong_order(format!("{END}\n{BEGIN}\n"))]
fn a_page_without_both_markers_in_order_is_refused(#[case] page: String) {
    let replaced = replace_marked(&page, "new");

    assert!(replaced.is_err(), "{replaced:?}");
}

/// Guards against figures that lose their size or unit prefix.
#[rstest]
#[case(0.0, "0.00 ")]
#[case(0.01234, "0.0123 ")]
#[case(1.5, "1.50 ")]
#[case(9_999.0, "9999 ")]
#[case(12_345.0, "12.3 k")]
#[case(2_500_000.0, "2.50 M")]
#[case(-3.25e9, "-3.25 G")]
fn numbers_are_short(#[case] value: f64, #[case] expected: &str) {
    assert_eq!(short(value), expected);
}
