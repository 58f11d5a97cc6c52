//! The operator documentation lists the same rules as the code.

use hillstall_change_freeze::rules::PRECEDENCE;

#[test]
fn the_operator_documentation_lists_the_rules_in_order_of_precedence() {
    let page = include_str!("../../../../docs/operate/coordination.md");
    let mut searched = 0;
    for entry in PRECEDENCE {
        let row = format!("| `{}` | {} |", entry.name, entry.description);
        let found = page[searched..].find(&row);
        let start = found.unwrap_or_else(|| panic!("{row:?} is missing or out of order"));
        searched += start + row.len();
    }
}
